//! The generated code says what the protocol file says. `UPDATE_GENERATED=1 cargo test -p external-processor --test
//! generated` writes both files anew.

use protox::prost::Message;
use std::path::Path;
use std::{env, fs};

#[test]
fn the_generated_code_is_that_of_the_protocol() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto");
    let files = protox::compile(["haventrack/decisions/v1/decisions.proto"], [&proto]).expect("a protocol");
    let out = env::temp_dir().join(format!("external-processor-generated-{}", std::process::id()));
    fs::create_dir_all(&out).expect("a folder");
    tonic_prost_build::configure().out_dir(&out).compile_fds(files.clone()).expect("code");
    let code = fs::read(out.join("haventrack.decisions.v1.rs")).expect("the code");
    fs::remove_dir_all(&out).expect("the folder");
    for (name, made) in [("src/generated.rs", code), ("src/descriptors.bin", files.encode_to_vec())] {
        let path = root.join(name);
        if env::var_os("UPDATE_GENERATED").is_some() {
            fs::write(&path, &made).expect("written");
        }
        let kept = fs::read(&path).unwrap_or_default();
        assert!(kept == made, "{name} is not what the protocol says: UPDATE_GENERATED=1 writes it anew");
    }
}
