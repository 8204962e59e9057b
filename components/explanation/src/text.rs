//! Text of an answer for people.

use std::fmt::{self, Display, Formatter};

use crate::{Answer, Candidate, Deployment, Outcome, Shard};

/// Width of the name column; a longer name is printed on a line of its own.
const NAME_WIDTH: usize = 20;
/// Largest number of upstreams of a deployment in the text. A deployment may have hundreds.
const MAX_CANDIDATES: usize = 24;

/// Formats a time: milliseconds below a second, else seconds.
fn time(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        _ => format!("{:.1} s", ms as f64 / 1_000.0),
    }
}

fn number(value: Option<impl Display>) -> String {
    value.map_or_else(|| "-".into(), |value| value.to_string())
}

impl Display for Outcome {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => write!(formatter, "It is not known what would happen."),
            Self::Sent { upstreams, stopped_items } => {
                write!(formatter, "It would be sent to {} now", upstreams.join(" or "))?;
                match stopped_items {
                    0 => write!(formatter, "."),
                    _ => write!(formatter, ", in the place of a batch item that is stopped."),
                }
            }
            Self::Queued { wait_ms, ahead: 0 } => {
                let wait = time(*wait_ms);
                write!(formatter, "It would wait about {wait} for a slot, as the next one.")
            }
            Self::Queued { wait_ms, ahead } => {
                let wait = time(*wait_ms);
                write!(formatter, "It would wait about {wait} for a slot, behind {ahead} others.")
            }
            Self::Asked { broker } => {
                write!(formatter, "Relay {broker} would decide; ask it with --relay.")
            }
            Self::Stored { owner } => {
                write!(formatter, "The job would be accepted (202) and run by {owner}.")
            }
            Self::Answered { text } => write!(formatter, "{text}."),
            Self::Refused { status, reason, retry_after_ms } => {
                write!(formatter, "It would be refused with {status}: {reason}.")?;
                match retry_after_ms {
                    Some(ms) => {
                        let seconds = *ms as f64 / 1_000.0;
                        write!(formatter, " Retry-After: {seconds:.3}")
                    }
                    None => Ok(()),
                }
            }
        }
    }
}

impl Answer {
    /// Returns the lines that say why, without an indent.
    fn reasons(&self) -> Vec<String> {
        let mut reasons = vec![format!("answered by relay {}{}", self.relay, self.readiness())];
        reasons.push(self.describe_configuration());
        if let Some(route) = &self.route {
            let is_public = if route.is_public { ", public" } else { "" };
            reasons.push(format!(
                "route {} ({}{is_public}), path prefix {}, objective {}",
                route.name,
                route.kind,
                route.prefix,
                time(route.objective_ms)
            ));
        }
        if let Some(job) = &self.job {
            let owner = job
                .owner
                .as_deref()
                .map_or("no relay runs it".to_owned(), |owner| format!("relay {owner} runs it"));
            reasons.push(match job.is_known {
                true => format!("job {}: {owner}", job.id),
                false => format!("job {}: this relay has not read its row", job.id),
            });
        }
        reasons.extend(self.describe_caller());
        reasons.extend(self.describe_quota());
        if let Some(charge) = &self.charge {
            let tokens = match charge.tokens {
                0 => "no tokens stated".to_owned(),
                tokens => format!("stated cost {tokens} tokens"),
            };
            reasons.push(format!("priority {}, {tokens}", charge.priority));
        }
        if let Some(batch) = &self.batch {
            let limit = batch.limit.map_or("no limit".to_owned(), |limit| format!("limit {limit}"));
            reasons.push(format!(
                "waiting tokens {}, {limit}; {} more being stored",
                batch.waiting, batch.reserved
            ));
            reasons.push(format!(
                "store last answered {} ago; the list of jobs is {} old",
                time(batch.store_age_ms),
                time(batch.age_ms)
            ));
            reasons.push(format!(
                "items are due {} after the job; late items go first, then those due first",
                time(batch.completion_ms)
            ));
        }
        reasons
    }

    const fn readiness(&self) -> &'static str {
        if self.is_ready { "" } else { ", which is not ready for new connections" }
    }

    fn describe_configuration(&self) -> String {
        let age = self.evidence.age_ms.map_or_else(
            || "never confirmed".to_owned(),
            |age| format!("confirmed {} ago", time(age)),
        );
        let limit = self.evidence.limit_ms.map_or_else(String::new, |limit| {
            format!("; keys are served up to {} after that", time(limit))
        });
        format!("configuration {}, {age}{limit}", self.configuration)
    }

    fn describe_caller(&self) -> Option<String> {
        let caller = self.caller.as_ref()?;
        Some(match (&caller.account, caller.has_accounts, caller.has_key) {
            (Some(account), ..) => format!("account {account}, by a valid key"),
            (None, false, _) => "no accounts in the configuration, keys do not count".into(),
            (None, true, true) => "no account: the key is of none".into(),
            (None, true, false) => "no account: no key was given".into(),
        })
    }

    fn describe_quota(&self) -> Option<String> {
        let quota = self.quota.as_ref()?;
        let limit = format!("quota {} requests/s, burst {}", quota.rate_per_s, quota.burst);
        let owner = match &quota.owner {
            Some(_) if quota.is_own => "kept by this relay".to_owned(),
            Some(owner) => format!("kept by relay {owner}"),
            None => "kept by no relay that this one reaches".to_owned(),
        };
        let level = match (quota.level, quota.level_age_ms) {
            (Some(level), Some(age)) => format!("level {level:.1} as stated {} ago", time(age)),
            (Some(level), None) => format!("level {level:.1}"),
            (None, _) => "level not known, no recent request".to_owned(),
        };
        Some(format!("{limit}; {owner}; {level}"))
    }
}

impl Display for Answer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}", self.outcome)?;
        writeln!(formatter, "Why:")?;
        for reason in self.reasons() {
            writeln!(formatter, "  {reason}")?;
        }
        for deployment in &self.deployments {
            write!(formatter, "{deployment}")?;
        }
        Ok(())
    }
}

impl Display for Shard {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let load = match (self.load_permille, self.load_wait_ms) {
            (Some(load), Some(wait)) => {
                format!("load {:.1}%, expected wait {}", f64::from(load) / 10.0, time(wait))
            }
            _ => "load not known here".to_owned(),
        };
        match self.is_own {
            true => write!(formatter, "this relay is the broker: {load}")?,
            false if self.load_permille.is_none() => {
                write!(formatter, "broker {} ({}): {load}", self.broker, self.broker_address)?;
            }
            false => write!(
                formatter,
                "broker {} ({}): {load}, as it stated last",
                self.broker, self.broker_address
            )?,
        }
        if let Some(waiting) = self.waiting {
            write!(formatter, ", {waiting} waiting")?;
        }
        if let (Some(waiting), Some(held)) = (self.waiting_items, self.held_by_items) {
            write!(formatter, "; items: {waiting} waiting, {held} running")?;
        }
        if self.is_learning == Some(true) {
            write!(formatter, "; no item starts until the relays have reported what they run")?;
        }
        if self.is_above_share == Some(true) {
            write!(formatter, "; the account has more than its share, others go first")?;
        }
        Ok(())
    }
}

impl Display for Deployment {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "Deployment {}", self.name)?;
        match self.start_within_ms {
            0 => writeln!(formatter)?,
            ms => writeln!(formatter, ", to be sent within {}", time(ms))?,
        }
        for shard in &self.shards {
            writeln!(formatter, "  {shard}")?;
        }
        if self.candidates.is_empty() {
            return writeln!(formatter, "  no upstreams are listed");
        }
        let header = ["USED", "MINE", "PACE", "SLOW"].map(String::from);
        writeln!(formatter, "{}", row("UPSTREAM", header, ""))?;
        // The best ones first, then those that cannot be used, and each in the order of their names.
        let mut candidates: Vec<&Candidate> = self.candidates.iter().collect();
        candidates.sort_by_key(|candidate| (!candidate.is_best, candidate.is_usable));
        for candidate in candidates.iter().take(MAX_CANDIDATES) {
            write!(formatter, "{candidate}")?;
        }
        match candidates.len().saturating_sub(MAX_CANDIDATES) {
            0 => Ok(()),
            more => writeln!(formatter, "  and {more} more, see --json"),
        }
    }
}

fn row(name: &str, [used, own, pace, slowness]: [String; 4], mark: &str) -> String {
    let line = format!("  {name:<NAME_WIDTH$} {used:>7} {own:>4} {pace:>4} {slowness:>5} {mark}");
    line.trim_end().to_owned()
}

impl Display for Candidate {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let used = self.online.zip(self.batch).map(|(online, batch)| online + batch);
        let figures = [
            format!("{}/{}", number(used), self.slots),
            self.own.to_string(),
            number(self.pace),
            self.slowness.map_or_else(|| "-".into(), |slowness| format!("{slowness:.2}")),
        ];
        let mark = if self.is_best { "best" } else { "" };
        if self.id.chars().count() <= NAME_WIDTH {
            writeln!(formatter, "{}", row(&self.id, figures, mark))?;
        } else {
            writeln!(formatter, "  {}", self.id)?;
            writeln!(formatter, "{}", row("", figures, mark))?;
        }
        match &self.passed_over {
            Some(reason) => writeln!(formatter, "    passed over: {reason}"),
            None => Ok(()),
        }
    }
}
