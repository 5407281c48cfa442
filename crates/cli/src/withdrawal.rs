//! Withdraws and reinstates versions by conditional updates.

use crate::{cli::OutputFormat, error::CommandError, output::print};
use ibissail_catalogue::{Generation, LifecycleState, WITHDRAWALS_KEY, Withdrawals};
use ibissail_core::{ModelVersion, Revision};
use ibissail_object_store::{ObjectApi, PlatformError};
use serde_json::json;

/// Maximum number of conditional updates per `withdraw` command.
const MAX_ATTEMPTS: u32 = 16;

/// Restricts a version to `new_state`. Retries the conditional update after a conflict with
/// another writer or an unknown outcome.
pub(crate) async fn withdraw<P>(
    platform: &P,
    version: &ModelVersion,
    new_state: LifecycleState,
    output: OutputFormat,
) -> Result<(), CommandError>
where
    P: ObjectApi,
{
    for _ in 0..MAX_ATTEMPTS {
        let (mut withdrawals, base) = read_withdrawals(platform).await?;
        if withdrawals.standing(version).state >= new_state {
            print_standing(output, version, &withdrawals);
            return Ok(());
        }
        withdrawals.restrict(version, new_state);
        match write_withdrawals(platform, &withdrawals, base).await {
            Ok(()) => {
                print_standing(output, version, &withdrawals);
                return Ok(());
            }
            // Withdrawing is idempotent: it can be retried even if the write may have taken effect.
            Err(PlatformError::Conflict(..) | PlatformError::OutcomeUnknown(_)) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(CommandError::Conflict(format!(
        "`{version}` could not be withdrawn: each of {MAX_ATTEMPTS} attempts conflicted with \
         another writer or had an unknown outcome"
    )))
}

/// Reinstates a version if it is still withdrawn or retiring in `generation`. Any other state is a
/// conflict, so that the operator never undoes a withdrawal made after they read the status.
pub(crate) async fn reinstate<P>(
    platform: &P,
    version: &ModelVersion,
    generation: Generation,
    output: OutputFormat,
) -> Result<(), CommandError>
where
    P: ObjectApi,
{
    let (mut withdrawals, base) = read_withdrawals(platform).await?;
    let standing = withdrawals.standing(version);
    if standing.generation != generation || standing.state == LifecycleState::Active {
        return Err(generation_conflict(version, &withdrawals));
    }
    withdrawals.reinstate(version);
    match write_withdrawals(platform, &withdrawals, base).await {
        Ok(()) => {
            print_standing(output, version, &withdrawals);
            Ok(())
        }
        Err(PlatformError::Conflict(..)) => {
            let (current, _) = read_withdrawals(platform).await?;
            Err(generation_conflict(version, &current))
        }
        Err(error) => Err(error.into()),
    }
}

fn generation_conflict(version: &ModelVersion, withdrawals: &Withdrawals) -> CommandError {
    let standing = withdrawals.standing(version);
    CommandError::Conflict(format!("`{version}` is {standing} now; nothing was changed"))
}

async fn read_withdrawals<P>(platform: &P) -> Result<(Withdrawals, Option<Revision>), CommandError>
where
    P: ObjectApi,
{
    let Some(object) = platform.get(WITHDRAWALS_KEY).await? else {
        return Ok((Withdrawals::default(), None));
    };
    let withdrawals = serde_json::from_str(&object.value)
        .map_err(|error| CommandError::Failed(format!("{WITHDRAWALS_KEY}: {error}")))?;
    Ok((withdrawals, Some(object.revision)))
}

async fn write_withdrawals<P>(
    platform: &P,
    withdrawals: &Withdrawals,
    base: Option<Revision>,
) -> Result<(), PlatformError>
where
    P: ObjectApi,
{
    let value = serde_json::to_string(withdrawals).unwrap_or_default();
    match base {
        Some(base) => platform.update(WITHDRAWALS_KEY, base, &value).await?,
        None => platform.create(WITHDRAWALS_KEY, &value).await?,
    };
    Ok(())
}

fn print_standing(output: OutputFormat, version: &ModelVersion, withdrawals: &Withdrawals) {
    let standing = withdrawals.standing(version);
    let value = json!({"version": version.to_string(), "standing": standing});
    print(output, &value, |_| format!("{version} is {standing}\n"));
}
