//! Validation of a tree of branches: each branch against its ancestors, and names across branches.

use crate::{Branch, TargetSelector, ValidationError, ValidationErrors, parse_branch};
use ibissail_core::{BranchPath, ClassId};
use std::collections::{BTreeMap, BTreeSet};

/// Validates a set of branches, each given as file name and text, as one tree.
///
/// # Errors
///
/// All errors of all documents: invalid values, missing parents, names used twice, unknown classes,
/// and branches that allow more or have higher limits than their parent.
pub fn check_tree(
    files: &[(String, String)],
) -> Result<BTreeMap<BranchPath, Branch>, ValidationErrors> {
    let mut errors = Vec::new();
    let mut tree = BTreeMap::new();
    let mut sources = BTreeMap::new();
    for (file, text) in files {
        match parse_branch(file, text) {
            Ok(branch) => {
                sources.insert(branch.path.clone(), (file.as_str(), text.as_str()));
                if let Some(duplicate) = tree.insert(branch.path.clone(), branch) {
                    errors.push(locate_error(
                        file,
                        text,
                        "branch",
                        format!("`{}` is defined twice", duplicate.path),
                    ));
                }
            }
            Err(found) => errors.extend(found.0),
        }
    }
    let all_parsed = errors.is_empty();
    errors.extend(check_unique_names(&tree, &sources));
    for branch in tree.values() {
        let (file, text) = sources[&branch.path];
        let findings = check_branch(branch, &tree, all_parsed);
        errors.extend(
            findings.into_iter().map(|finding| locate_error(file, text, finding.0, finding.1)),
        );
    }
    if errors.is_empty() { Ok(tree) } else { Err(ValidationErrors(errors)) }
}

/// Reports organisations and bearer keys that are defined more than once.
fn check_unique_names(
    tree: &BTreeMap<BranchPath, Branch>,
    sources: &BTreeMap<BranchPath, (&str, &str)>,
) -> Vec<ValidationError> {
    let mut names = BTreeMap::new();
    let mut keys = BTreeMap::new();
    let mut errors = Vec::new();
    for branch in tree.values() {
        let (file, text) = sources[&branch.path];
        for (name, organisation) in &branch.organisations {
            if let Some(other) = names.insert(name, &branch.path) {
                let message =
                    format!("`{name}` is also defined in `{other}`; valid: a unique name");
                errors.push(locate_error(file, text, "organisations", message));
            }
            for key in &organisation.keys {
                if let Some(other) = keys.insert(key, name) {
                    let message =
                        format!("`{key}` is also a key of `{other}`; valid: a unique key");
                    errors.push(locate_error(file, text, "organisations", message));
                }
            }
        }
    }
    errors
}

/// Key path and message of an error whose line is not known yet.
type Finding = (&'static str, String);

fn check_branch(
    branch: &Branch,
    tree: &BTreeMap<BranchPath, Branch>,
    all_parsed: bool,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    let declared = match branch.path.parent() {
        None => declared_targets(branch),
        Some(parent) => match tree.get(&parent) {
            Some(parent) => {
                check_limits(branch, parent, &mut findings);
                parent.allow.clone()
            }
            None if all_parsed => {
                findings.push(("branch", format!("the parent `{parent}` does not exist")));
                return findings;
            }
            None => return findings,
        },
    };
    check_allow("allow", &branch.allow, &declared, &mut findings);
    check_organisations(branch, tree, &mut findings);
    findings
}

fn declared_targets(root: &Branch) -> BTreeSet<TargetSelector> {
    let mut declared = BTreeSet::new();
    for (name, model) in &root.models {
        declared.insert(TargetSelector::Model(name.clone()));
        for version in model.versions.keys() {
            let version =
                ibissail_core::ModelVersion { model: name.clone(), version: version.clone() };
            declared.insert(TargetSelector::Version(version));
        }
    }
    declared.extend(root.services.keys().cloned().map(TargetSelector::Service));
    declared
}

fn check_limits(branch: &Branch, parent: &Branch, findings: &mut Vec<Finding>) {
    if branch.limits.concurrency > parent.limits.concurrency {
        let (found, valid) = (branch.limits.concurrency, parent.limits.concurrency);
        findings.push((
            "limits.concurrency",
            format!("`{found}` exceeds the parent's limit; valid: 0 to {valid}"),
        ));
    }
    if branch.limits.body > parent.limits.body {
        let (found, valid) = (branch.limits.body, parent.limits.body);
        findings.push((
            "limits.body",
            format!("`{found}` exceeds the parent's limit; valid: up to {valid}"),
        ));
    }
}

fn check_allow(
    key: &'static str,
    found: &BTreeSet<TargetSelector>,
    allowed: &BTreeSet<TargetSelector>,
    findings: &mut Vec<Finding>,
) {
    let valid: Vec<String> = allowed.iter().map(ToString::to_string).collect();
    for entry in found {
        if !allowed.iter().any(|allowed| allowed.covers(entry)) {
            let message = format!("`{entry}` is not allowed here; valid: {}", valid.join(", "));
            findings.push((key, message));
        }
    }
}

fn check_organisations(
    branch: &Branch,
    tree: &BTreeMap<BranchPath, Branch>,
    findings: &mut Vec<Finding>,
) {
    let classes = available_classes(branch, tree);
    for (name, organisation) in &branch.organisations {
        check_allow("organisations", &organisation.allow, &branch.allow, findings);
        if !classes.contains(&organisation.default_class) {
            let valid: Vec<&str> = classes.iter().map(ClassId::as_str).collect();
            let found = &organisation.default_class;
            let message =
                format!("`{name}` names the unknown class `{found}`; valid: {}", valid.join(", "));
            findings.push(("organisations", message));
        }
    }
}

fn available_classes(branch: &Branch, tree: &BTreeMap<BranchPath, Branch>) -> BTreeSet<ClassId> {
    let mut classes: BTreeSet<ClassId> = branch.classes.keys().cloned().collect();
    for path in branch.path.ancestors() {
        if let Some(ancestor) = tree.get(&path) {
            classes.extend(ancestor.classes.keys().cloned());
        }
    }
    classes
}

/// Creates an error at the first line, from that of the top-level key on, that contains the value,
/// which is the first text in backticks in `message`. Without such a line, the error is at the line
/// of the key, or at line 1 if the key is absent.
///
/// The line is a guess: the value can also occur earlier with another meaning.
fn locate_error(file: &str, text: &str, path: &str, message: String) -> ValidationError {
    let key = path.split('.').next().unwrap_or(path);
    let value = message.split('`').nth(1).unwrap_or_default();
    let start = text.lines().position(|line| line.starts_with(&format!("{key}:"))).unwrap_or(0);
    let offset =
        text.lines().skip(start).position(|line| !value.is_empty() && line.contains(value));
    let line = start + offset.unwrap_or(0) + 1;
    ValidationError { file: file.to_owned(), line, path: path.to_owned(), message }
}
