//! Tells to which team a call belongs, and which calls are refused because they carry no
//! key of one. See `docs/design/teams.md`.

use std::time::Duration;

use conf::state::RouteMatch;
use conf::team::KeyError;
use conf::State;
use http::HeaderMap;
use http::StatusCode;

use crate::dialect::Dialect;
use crate::local_response::LocalResponse;

/// The retry delay sent to callers of a VM that does not know the teams yet.
const NO_TEAMS_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The reason of calls that carry no key of a team.
pub(crate) const UNKNOWN_KEY: &str = "unknown-key";

/// Returns `route` with the team of the call whose fields are `fields`.
///
/// # Errors
///
/// Returns the response to the caller if the call needs a key of a team and has none.
pub(crate) fn authenticate<'a>(
    state: &'a State,
    route: RouteMatch<'a>,
    fields: &HeaderMap,
    dialect: &dyn Dialect,
) -> Result<RouteMatch<'a>, LocalResponse> {
    let found = state.authenticate(route, || dialect.caller_key(fields));
    found.map_err(|error| {
        let detail = error.to_string();
        match error {
            KeyError::Unknown => {
                LocalResponse::not_run(StatusCode::UNAUTHORIZED, UNKNOWN_KEY, detail)
            }
            KeyError::NoTeams => {
                LocalResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-teams", detail)
                    .with_retry_after(NO_TEAMS_RETRY_AFTER)
            }
        }
    })
}
