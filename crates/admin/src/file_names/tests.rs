use super::*;

#[test]
fn similar_names_have_distinct_file_names() {
    assert_eq!(file_name_part("kw-proxy_7"), "kw-proxy_7", "a plain name is unchanged");
    let long = "n".repeat(MAX_PLAIN_NAME_LENGTH);
    let names = ["n_1", "n.1", "n/1", "n 1", "", &long, &format!("{long}1"), &format!("{long}2")];
    let files: std::collections::HashSet<_> = names.iter().map(|name| file_name_part(name)).collect();
    assert_eq!(files.len(), names.len());
    assert!(files.iter().all(|file| file.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))));
}
