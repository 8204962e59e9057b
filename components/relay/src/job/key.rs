//! Keys of the rows and names of the objects that relays write to the store.

use cyclamengrade_control::hash;

use crate::job::size::MAX_KEY_BYTES;

/// Table of the relays and the jobs, which every relay follows.
pub const FLEET: &str = "fleet";
/// Table of the results, which are read on demand.
const RESULTS: &str = "results";
/// Number of parts of a table among which the jobs are distributed. The store runs the transactions
/// of one part one after another, at 200 per second; sixteen parts suffice for the planned 1,100
/// items per second.
const PARTS: u64 = 16;
/// Part of the fleet table with the rows of the relays.
const MEMBERS: &str = "members";

/// Part of the fleet table with the rows of upstreams that said that they are leaving.
const LEAVING: &str = "leaving";
/// Part of the fleet table with the row of the quarantine.
const QUARANTINE: &str = "quarantine";

/// Part of the fleet table with the row of the newest roll call.
const ROLL_CALLS: &str = "rollcalls";

/// Returns the key of the row of the newest roll call.
pub fn roll_call() -> String {
    format!("{FLEET}/{ROLL_CALLS}/newest")
}

/// Returns the key of the row of a relay.
pub fn member(name: &str) -> String {
    format!("{FLEET}/{MEMBERS}/{name}")
}

/// Part of the fleet table with the row of the software versions.
const VERSIONS: &str = "versions";
/// Table of the versions that began streams, which is read on demand.
const ORIGINS: &str = "origins";
/// Number of parts of the table of origins.
const ORIGIN_PARTS: u64 = 4;

/// Returns the key of the row that says since when each deployment has its software versions.
pub fn versions() -> String {
    format!("{FLEET}/{VERSIONS}/deployments")
}

/// Returns the key of the row with the origins of the streams that a relay began.
pub fn origins(relay: &str) -> String {
    format!("{ORIGINS}/{}/{relay}", hash::stable(&[relay]) % ORIGIN_PARTS)
}

/// Returns the key prefixes of all rows with origins.
pub fn all_origins() -> impl Iterator<Item = String> {
    (0..ORIGIN_PARTS).map(|part| format!("{ORIGINS}/{part}/"))
}

/// Returns the key of the row with the parts of prompts that are quarantined.
pub fn quarantine() -> String {
    format!("{FLEET}/{QUARANTINE}/parts")
}

/// Returns the key of the row of an upstream that said that it is leaving.
pub fn leaving(upstream: &str) -> String {
    format!("{FLEET}/{LEAVING}/{upstream}")
}

/// Returns the key of the row of a job.
pub fn job(id: &str) -> String {
    format!("{FLEET}/{}/{id}", part(id))
}

/// Returns the key prefix of the results of a job.
pub fn results(id: &str) -> String {
    format!("{RESULTS}/{}/{id}/", part(id))
}

/// Returns the key of the result at a position. Keys are padded so that they sort by position.
pub fn result(id: &str, position: usize) -> String {
    format!("{}{position:06}", results(id))
}

/// Returns the key prefix of the texts of a job's unfinished items.
pub fn partials(id: &str) -> String {
    format!("partials/{}/{id}/", part(id))
}

/// Returns the key of the text of an unfinished item.
pub fn partial(id: &str, item: usize) -> String {
    format!("{}{item:06}", partials(id))
}

/// Returns the key of the row with the failures of a job's items.
pub fn failures(id: &str) -> String {
    format!("failures/{}/{id}", part(id))
}

/// Returns the name of the object with the items of a job.
pub fn input(id: &str) -> String {
    format!("jobs-{id}")
}

/// Returns the name of the object with the text of a result that does not fit into a row.
pub fn text(id: &str, item: usize) -> String {
    format!("texts-{id}-{item}")
}

/// Whether the rows of a job with this id have keys that the store takes.
pub fn is_storable(id: &str) -> bool {
    // A result has the longest key.
    id.len() + "/000000".len() <= MAX_KEY_BYTES
}

fn part(id: &str) -> String {
    format!("jobs-{}", hash::stable(&[id]) % PARTS)
}

/// Subject of a row of the fleet table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject<'a> {
    /// The relay with this name.
    Member(&'a str),
    /// The job with this id.
    Job(&'a str),
    /// The upstream with this id, which said that it is leaving.
    Leaving(&'a str),
    /// The parts of prompts that are quarantined.
    Quarantine,
    /// The software versions of the deployments.
    Versions,
    /// The newest roll call.
    RollCall,
}

/// Returns the subject of a row of the fleet table, or `None` if relays do not write such a key.
pub fn subject(key: &str) -> Option<Subject<'_>> {
    let (part, name) = key.strip_prefix(FLEET)?.strip_prefix('/')?.split_once('/')?;
    match part {
        MEMBERS => Some(Subject::Member(name)),
        LEAVING => Some(Subject::Leaving(name)),
        QUARANTINE => Some(Subject::Quarantine),
        VERSIONS => Some(Subject::Versions),
        ROLL_CALLS => Some(Subject::RollCall),
        part if part.starts_with("jobs-") => Some(Subject::Job(name)),
        _ => None,
    }
}
