//! No text makes the parsers of settings panic; what they reject gets an error with a message.

use ibissail_settings::{check_tree, parse_branch, parse_local};
use proptest::{prelude::*, test_runner::RngSeed};

const SEED: u64 = 11;
const EXAMPLES: [&str; 4] = [
    include_str!("../../../examples/settings/root.yaml"),
    include_str!("../../../examples/settings/guides.yaml"),
    include_str!("../../../examples/entry.yaml"),
    include_str!("../../../examples/sidecar.yaml"),
];

/// Parses a text as each kind of settings.
fn parse_all(text: &str) {
    for error in [parse_branch("a", text).err(), parse_local("a", text).err()] {
        assert!(error.is_none_or(|errors| !errors.to_string().is_empty()));
    }
    let _checked = check_tree(&[("a.yaml".to_owned(), text.to_owned())]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text(text in "\\PC{0,200}") {
        parse_all(&text);
    }

    #[test]
    fn changed_examples(
        example in 0..EXAMPLES.len(),
        at in any::<prop::sample::Index>(),
        removed in 0..40_usize,
        inserted in "[ -~\n]{0,12}",
    ) {
        let mut text: Vec<char> = EXAMPLES[example].chars().collect();
        let from = at.index(text.len());
        let to = (from + removed).min(text.len());
        text.splice(from..to, inserted.chars());
        parse_all(&text.into_iter().collect::<String>());
    }
}

#[test]
fn deeply_nested_text_is_rejected() {
    for depth in [200, 100_000] {
        for (open, close) in [("[", "]"), ("{a: ", "}"), ("- ", ""), ("? ", "")] {
            parse_all(&format!("branch: {}1{}", open.repeat(depth), close.repeat(depth)));
            parse_all(&format!("{}1{}", open.repeat(depth), close.repeat(depth)));
        }
    }
}
