//! Validation reports all errors at once, each with file, line, key path, value and what is valid.

use ibissail_settings::{ValidationErrors, check_tree, parse_branch, parse_local};

const ROOT: &str = include_str!("../../../examples/settings/root.yaml");
const GUIDES: &str = include_str!("../../../examples/settings/guides.yaml");

fn tree(files: &[(&str, &str)]) -> Result<usize, String> {
    let files: Vec<(String, String)> =
        files.iter().map(|(file, text)| ((*file).to_owned(), (*text).to_owned())).collect();
    check_tree(&files).map(|tree| tree.len()).map_err(|errors| errors.to_string())
}

fn error_text<T>(result: Result<T, ValidationErrors>) -> String {
    result.err().map(|errors| errors.to_string()).unwrap_or_default()
}

#[test]
fn examples_are_valid() {
    assert_eq!(tree(&[("root.yaml", ROOT), ("guides.yaml", GUIDES)]), Ok(2));
    for example in [
        include_str!("../../../examples/entry.yaml"),
        include_str!("../../../examples/sidecar.yaml"),
    ] {
        assert_eq!(error_text(parse_local("local.yaml", example)), "");
    }
}

#[test]
fn reports_all_errors_of_a_branch() {
    let text = "\
branch: root/guides
allow: [swift, 'a b']
limit: {}
limits: {concurrency: many, body: 3 parsecs}
models: {}
classes:
  draft: {quality: 1.5, deadline: soon}
  lookup: {}
organisations:
  editors:
    keys: [sha256:12]
    allow: [swift]
    default_class: draft
    on_withdrawal: panic
  volunteers: [1]
";
    insta::assert_snapshot!(error_text(parse_branch("guides.yaml", text)));
}

#[test]
fn reports_all_errors_of_local_settings() {
    let text = "\
vm: entry 1
zone: az-1
listen: localhost:80
peer_keys: [{id: a, secret: short}, {id: b}, {id: c, secret: long-enough-secret}]
upstream: {address: 10.0.0.1, offers: swift, concurrency: -1}
colour: red
";
    insta::assert_snapshot!(error_text(parse_local("entry.yaml", text)));
}

#[test]
fn reports_the_line_of_a_syntax_error() {
    insta::assert_snapshot!(error_text(parse_branch("root.yaml", "branch: root\nallow: [a\n")));
}

#[test]
fn rejects_branches_that_exceed_their_parent() {
    let child = GUIDES
        .replace("allow: [swift]", "allow: [swift, other]")
        .replace("concurrency: 128", "concurrency: 999")
        .replace("default_class: lookup\n    on", "default_class: nothing\n    on");
    let found = tree(&[("root.yaml", ROOT), ("guides.yaml", &child)]);
    insta::assert_snapshot!(found.unwrap_err());
}

#[test]
fn rejects_missing_parents_and_duplicate_names() {
    let orphan = "branch: root/shop/brno\nallow: []\n";
    let again = GUIDES.replace("root/guides", "root/shop");
    let found = tree(&[
        ("root.yaml", ROOT),
        ("guides.yaml", GUIDES),
        ("shop.yaml", &again),
        ("far.yaml", &orphan.replace("shop", "far")),
    ]);
    insta::assert_snapshot!(found.unwrap_err());
}
