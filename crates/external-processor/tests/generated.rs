//! Checks that the generated code and descriptors match the protocol file. `UPDATE_GENERATED=1 cargo test -p
//! external-processor --test generated` rewrites both.

use protox::prost::Message;
use std::path::Path;
use std::{env, fs};

#[test]
fn generated_code_matches_the_protocol() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto");
    let files = protox::compile(["haventrack/decisions/v1/decisions.proto"], [&proto])
        .expect("a valid protocol file");
    let out = env::temp_dir().join(format!("external-processor-generated-{}", std::process::id()));
    fs::create_dir_all(&out).expect("temporary directory is created");
    tonic_prost_build::configure().out_dir(&out).compile_fds(files.clone()).expect("code is generated");
    let code = fs::read(out.join("haventrack.decisions.v1.rs")).expect("generated code is readable");
    fs::remove_dir_all(&out).expect("temporary directory is removed");
    for (name, generated) in [("src/generated.rs", code), ("src/descriptors.bin", files.encode_to_vec())] {
        let path = root.join(name);
        if env::var_os("UPDATE_GENERATED").is_some() {
            fs::write(&path, &generated).expect("file is written");
        }
        let stored = fs::read(&path).unwrap_or_default();
        assert!(
            stored == generated,
            "{name} does not match the protocol; run the test with UPDATE_GENERATED=1 to rewrite it"
        );
    }
}
