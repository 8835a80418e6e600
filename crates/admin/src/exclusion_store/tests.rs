use super::*;

#[test]
fn names_that_look_alike_as_files_have_files_of_their_own() {
    assert_eq!(file_name("kw-proxy_7"), "kw-proxy_7", "a plain name stays as it is");
    let long = "n".repeat(PLAIN_NAME);
    let names = ["n_1", "n.1", "n/1", "n 1", "", &long, &format!("{long}1"), &format!("{long}2")];
    let files: std::collections::HashSet<_> = names.iter().map(|name| file_name(name)).collect();
    assert_eq!(files.len(), names.len());
    assert!(
        files.iter().all(|file| file.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c)))
    );
}
