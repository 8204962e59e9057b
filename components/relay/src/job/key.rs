//! Keys of rows and objects.

use cyclamengrade_control::hash;

/// Table with the relays and the jobs, which all relays follow.
pub const FLEET: &str = "fleet";
/// Table with results, which is read on demand.
const RESULTS: &str = "results";
/// Parts that the jobs are spread over. The store runs the transactions of one part one after
/// another, 200 a second; sixteen parts carry the planned 1,100 items a second.
const PARTS: u64 = 16;
/// Part of the rows of relays.
const MEMBERS: &str = "members";

/// Key of the row of a relay.
pub fn member(name: &str) -> String {
    format!("{FLEET}/{MEMBERS}/{name}")
}

/// Key of the row of a job.
pub fn job(id: &str) -> String {
    format!("{FLEET}/{}/{id}", part(id))
}

/// What the keys of the results of a job start with.
pub fn results(id: &str) -> String {
    format!("{RESULTS}/{}/{id}/", part(id))
}

/// Key of the result at a position.
pub fn result(id: &str, position: usize) -> String {
    format!("{}{position:06}", results(id))
}

/// What the keys of the texts of unfinished items of a job start with.
pub fn partials(id: &str) -> String {
    format!("partials/{}/{id}/", part(id))
}

/// Key of the text of an unfinished item.
pub fn partial(id: &str, item: usize) -> String {
    format!("{}{item:06}", partials(id))
}

/// Key of the row with the failures of a job's items.
pub fn failures(id: &str) -> String {
    format!("failures/{}/{id}", part(id))
}

/// Name of the object with the items of a job.
pub fn input(id: &str) -> String {
    format!("jobs-{id}")
}

/// Name of the object with the text of a result that does not fit into a row.
pub fn text(id: &str, item: usize) -> String {
    format!("texts-{id}-{item}")
}

fn part(id: &str) -> String {
    format!("jobs-{}", hash::stable(&[id]) % PARTS)
}

/// What a row of the fleet table is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject<'a> {
    /// A relay with this name.
    Member(&'a str),
    /// A job with this id.
    Job(&'a str),
}

/// What a row of the fleet table is about; `None` when the key is none of this program's.
pub fn subject(key: &str) -> Option<Subject<'_>> {
    let (part, name) = key.strip_prefix(FLEET)?.strip_prefix('/')?.split_once('/')?;
    match part {
        MEMBERS => Some(Subject::Member(name)),
        part if part.starts_with("jobs-") => Some(Subject::Job(name)),
        _ => None,
    }
}
