//! Checks of a branch against the branches above it.

use crate::{Branch, TargetSelector, ValidationError, ValidationErrors, parse_branch};
use ibissail_core::{BranchPath, ClassId};
use std::collections::{BTreeMap, BTreeSet};

/// Checks a set of branches, each given as file name and text, as one tree.
///
/// # Errors
///
/// Every mistake of every document: those of each on its own, a missing parent, and whatever
/// widens what the parent allows.
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
                if let Some(twice) = tree.insert(branch.path.clone(), branch) {
                    errors.push(at(file, text, "branch", format!("`{}` stands twice", twice.path)));
                }
            }
            Err(found) => errors.extend(found.0),
        }
    }
    let complete = errors.is_empty();
    errors.extend(shared_names(&tree, &sources));
    for branch in tree.values() {
        let (file, text) = sources[&branch.path];
        let notes = widenings(branch, &tree, complete);
        errors.extend(notes.into_iter().map(|note| at(file, text, note.0, note.1)));
    }
    if errors.is_empty() { Ok(tree) } else { Err(ValidationErrors(errors)) }
}

/// Organisations and bearer keys that stand in two branches.
fn shared_names(
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
                let message = format!("`{name}` stands in `{other}` too; valid: a name of its own");
                errors.push(at(file, text, "organisations", message));
            }
            for key in &organisation.keys {
                if let Some(other) = keys.insert(key, name) {
                    let message = format!("`{key}` is a key of `{other}` too; valid: its own key");
                    errors.push(at(file, text, "organisations", message));
                }
            }
        }
    }
    errors
}

type Note = (&'static str, String);

fn widenings(branch: &Branch, tree: &BTreeMap<BranchPath, Branch>, complete: bool) -> Vec<Note> {
    let mut notes = Vec::new();
    let declared = match branch.path.parent() {
        None => declared_at_root(branch),
        Some(parent) => match tree.get(&parent) {
            Some(parent) => {
                check_limits(branch, parent, &mut notes);
                parent.allow.clone()
            }
            None if complete => {
                notes.push(("branch", format!("the parent `{parent}` does not exist")));
                return notes;
            }
            None => return notes,
        },
    };
    check_allow("allow", &branch.allow, &declared, &mut notes);
    check_organisations(branch, tree, &mut notes);
    notes
}

fn declared_at_root(root: &Branch) -> BTreeSet<TargetSelector> {
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

fn check_limits(branch: &Branch, parent: &Branch, notes: &mut Vec<Note>) {
    if branch.limits.concurrency > parent.limits.concurrency {
        let (found, valid) = (branch.limits.concurrency, parent.limits.concurrency);
        notes.push((
            "limits.concurrency",
            format!("`{found}` widens the parent's; valid: 0 to {valid}"),
        ));
    }
    if branch.limits.body > parent.limits.body {
        let (found, valid) = (branch.limits.body, parent.limits.body);
        notes.push(("limits.body", format!("`{found}` widens the parent's; valid: up to {valid}")));
    }
}

fn check_allow(
    key: &'static str,
    found: &BTreeSet<TargetSelector>,
    allowed: &BTreeSet<TargetSelector>,
    notes: &mut Vec<Note>,
) {
    let valid: Vec<String> = allowed.iter().map(ToString::to_string).collect();
    for entry in found {
        if !allowed.iter().any(|allowed| allowed.covers(entry)) {
            let message = format!("`{entry}` is not allowed above; valid: {}", valid.join(", "));
            notes.push((key, message));
        }
    }
}

fn check_organisations(
    branch: &Branch,
    tree: &BTreeMap<BranchPath, Branch>,
    notes: &mut Vec<Note>,
) {
    let classes = visible_classes(branch, tree);
    for (name, organisation) in &branch.organisations {
        check_allow("organisations", &organisation.allow, &branch.allow, notes);
        if !classes.contains(&organisation.default_class) {
            let valid: Vec<&str> = classes.iter().map(ClassId::as_str).collect();
            let found = &organisation.default_class;
            let message = format!("`{name}` has no class `{found}`; valid: {}", valid.join(", "));
            notes.push(("organisations", message));
        }
    }
}

fn visible_classes(branch: &Branch, tree: &BTreeMap<BranchPath, Branch>) -> BTreeSet<ClassId> {
    let mut classes: BTreeSet<ClassId> = branch.classes.keys().cloned().collect();
    for path in branch.path.chain() {
        if let Some(above) = tree.get(&path) {
            classes.extend(above.classes.keys().cloned());
        }
    }
    classes
}

/// The mistake at the line where the value, or else the top-level key, stands.
fn at(file: &str, text: &str, path: &str, message: String) -> ValidationError {
    let key = path.split('.').next().unwrap_or(path);
    let value = message.split('`').nth(1).unwrap_or_default();
    let start = text.lines().position(|line| line.starts_with(&format!("{key}:"))).unwrap_or(0);
    let inside =
        text.lines().skip(start).position(|line| !value.is_empty() && line.contains(value));
    let line = start + inside.unwrap_or(0) + 1;
    ValidationError { file: file.to_owned(), line, path: path.to_owned(), message }
}
