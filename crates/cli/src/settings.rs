//! Validates, reads and changes settings branches.

use crate::{cli::OutputFormat, error::CommandError, output::print};
use ibissail_catalogue::{BRANCH_PREFIX, branch_key};
use ibissail_core::{BranchPath, Revision};
use ibissail_object_store::{Object, ObjectApi, PlatformError};
use ibissail_settings::{check_tree, parse_branch};
use serde::{Deserialize, Serialize};
use serde_json::json;
use similar::TextDiff;
use std::{
    fs,
    path::{Path, PathBuf},
};

/// Revision and text of the branch that a file was made from, stored beside the file with the
/// suffix `.base`.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct BaseSnapshot {
    revision: Revision,
    text: String,
}

fn base_file_path(file: &Path) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(".base");
    name.into()
}

fn read_text(file: &Path) -> Result<String, CommandError> {
    fs::read_to_string(file).map_err(|error| file_error(file, &error))
}

fn file_error(file: &Path, error: &std::io::Error) -> CommandError {
    CommandError::File(file.display().to_string(), error.to_string())
}

/// Validates files as one tree and prints the number of branches.
pub(crate) fn check(files: &[PathBuf], output: OutputFormat) -> Result<(), CommandError> {
    let mut sources = Vec::new();
    for file in files {
        sources.push((file.display().to_string(), read_text(file)?));
    }
    let tree = check_tree(&sources)?;
    let branches: Vec<String> = tree.keys().map(ToString::to_string).collect();
    print(output, &branches, |branches| format!("{} branches are valid\n", branches.len()));
    Ok(())
}

/// Prints a branch, or writes it to a file for editing.
pub(crate) async fn get<P>(
    platform: &P,
    branch: &BranchPath,
    to: Option<&Path>,
    output: OutputFormat,
) -> Result<(), CommandError>
where
    P: ObjectApi,
{
    let key = branch_key(branch);
    let object = platform.get(&key).await?.ok_or_else(|| missing_branch_error(branch))?;
    let Some(file) = to else {
        print(output, &object, |object| object.value.clone());
        return Ok(());
    };
    let base = BaseSnapshot { revision: object.revision, text: object.value.clone() };
    let base = serde_json::to_string(&base).unwrap_or_default();
    fs::write(file, &object.value).map_err(|error| file_error(file, &error))?;
    let path = base_file_path(file);
    fs::write(&path, base).map_err(|error| file_error(&path, &error))?;
    let written = json!({"file": file, "revision": object.revision});
    print(output, &written, |_| format!("{} at revision {}\n", file.display(), object.revision));
    Ok(())
}

fn missing_branch_error(branch: &BranchPath) -> CommandError {
    CommandError::Failed(format!("the branch `{branch}` does not exist"))
}

/// Prints the lines that `apply` would change.
pub(crate) async fn diff<P>(platform: &P, file: &Path) -> Result<(), CommandError>
where
    P: ObjectApi,
{
    let text = read_text(file)?;
    let branch = parse_branch(&file.display().to_string(), &text)?.path;
    let current = platform.get(&branch_key(&branch)).await?;
    let current = current.map(|object| object.value).unwrap_or_default();
    print!("{}", line_diff(&current, &text, "in force", "yours"));
    Ok(())
}

fn line_diff(old: &str, new: &str, old_name: &str, new_name: &str) -> String {
    TextDiff::from_lines(old, new).unified_diff().header(old_name, new_name).to_string()
}

/// Applies a file by a conditional write. The base is the `base` argument or the revision in the
/// file's `.base` file: the write fails if the branch is no longer at it, or, without a base, if
/// the branch already exists.
pub(crate) async fn apply<P>(
    platform: &P,
    file: &Path,
    base: Option<Revision>,
    output: OutputFormat,
) -> Result<(), CommandError>
where
    P: ObjectApi,
{
    let text = read_text(file)?;
    let name = file.display().to_string();
    let branch = parse_branch(&name, &text)?.path;
    check_against_current(platform, &name, &text, &branch).await?;
    let saved = read_base(file);
    let base = base.or_else(|| saved.as_ref().map(|saved| saved.revision));
    let key = branch_key(&branch);
    let written = match base {
        Some(base) => platform.update(&key, base, &text).await,
        None => platform.create(&key, &text).await,
    };
    let revision = match written {
        Ok(revision) => revision,
        Err(PlatformError::Conflict(_, current)) => {
            return Err(conflict_error(&branch, &text, saved.as_ref(), current.as_ref()));
        }
        Err(PlatformError::OutcomeUnknown(detail)) => {
            find_applied_revision(platform, &key, &text, base)
                .await
                .map_err(|read_error| CommandError::Failed(format!("{detail}; {read_error}")))?
        }
        Err(error) => return Err(error.into()),
    };
    if saved.is_some() {
        write_base(file, &BaseSnapshot { revision, text })?;
    }
    let applied = json!({"branch": branch, "revision": revision});
    print(output, &applied, |_| format!("{branch} is in force at revision {revision}\n"));
    Ok(())
}

/// Returns the base of a file, or `None` if the `.base` file is missing or cannot be parsed.
fn read_base(file: &Path) -> Option<BaseSnapshot> {
    let text = fs::read_to_string(base_file_path(file)).ok()?;
    serde_json::from_str(&text).ok()
}

fn write_base(file: &Path, base: &BaseSnapshot) -> Result<(), CommandError> {
    let path = base_file_path(file);
    let text = serde_json::to_string(base).unwrap_or_default();
    fs::write(&path, text).map_err(|error| file_error(&path, &error))
}

/// Validates a branch together with all other branches that the platform stores.
async fn check_against_current<P>(
    platform: &P,
    name: &str,
    text: &str,
    branch: &BranchPath,
) -> Result<(), CommandError>
where
    P: ObjectApi,
{
    let own_key = branch_key(branch);
    let listing = platform.list(BRANCH_PREFIX).await?;
    let others = listing.objects.into_iter().filter(|object| object.key != own_key);
    let mut sources: Vec<(String, String)> =
        others.map(|object| (object.key, object.value)).collect();
    sources.push((name.to_owned(), text.to_owned()));
    check_tree(&sources)?;
    Ok(())
}

/// Reads a branch after a write with an unknown outcome and returns the revision of the write.
/// Returns an error if the read fails, or if the branch does not have the written text at a new
/// revision.
async fn find_applied_revision<P>(
    platform: &P,
    key: &str,
    text: &str,
    base: Option<Revision>,
) -> Result<Revision, String>
where
    P: ObjectApi,
{
    match platform.get(key).await {
        Ok(Some(object)) if object.value == text && Some(object.revision) != base => {
            Ok(object.revision)
        }
        Ok(_) => Err("a read after the write did not find the change".to_owned()),
        Err(error) => Err(format!("the read after the write failed too: {error}")),
    }
}

fn conflict_error(
    branch: &BranchPath,
    text: &str,
    saved: Option<&BaseSnapshot>,
    current: Option<&Object>,
) -> CommandError {
    let Some(current) = current else {
        return CommandError::Conflict(format!("`{branch}` has been deleted since it was read"));
    };
    let head = format!(
        "the change to `{branch}` is not based on its current revision, {}",
        current.revision
    );
    let changes = match saved {
        Some(base) => format!(
            "\ntheir change:\n{}\nyour change:\n{}",
            line_diff(&base.text, &current.value, "base", "in force"),
            line_diff(&base.text, text, "base", "yours"),
        ),
        None => format!("\n{}", line_diff(&current.value, text, "in force", "yours")),
    };
    CommandError::Conflict(format!("{head}{changes}"))
}
