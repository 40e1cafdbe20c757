use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::time::{Duration, Instant};

use bytes::Bytes;
use store::{ConflictBody, Expected, ListedInstance, ListedWorker, Listing, Row, Txn};

use super::token_bucket::TokenBucket;
use super::{PlatformFaults, PlatformOptions, PlatformStats};

/// State of the platform: rows, objects, list of instances, faults and counters.
#[derive(Debug)]
pub(super) struct PlatformState {
    pub faults: PlatformFaults,
    pub objects: HashMap<String, Bytes>,
    rows: BTreeMap<String, Row>,
    next_version: u64,
    list: InstanceList,
    writes: TokenBucket,
    reads: TokenBucket,
    started_at: Instant,
    stats: PlatformStats,
    /// Replies to writes since the start, dropped ones included.
    replies: u64,
}

/// List of registered instances, and the lagging copy that readers see.
#[derive(Debug)]
struct InstanceList {
    lag: Duration,
    ttl: Option<Duration>,
    /// Instances with the time of their last registration; `None` exempts an entry from the TTL.
    workers: BTreeMap<String, (ListedWorker, Option<Instant>)>,
    entries: BTreeMap<String, (ListedInstance, Option<Instant>)>,
    published: Listing,
    published_at: Instant,
}

impl PlatformState {
    pub fn new(options: &PlatformOptions, first_list: Listing) -> Self {
        let now = Instant::now();
        let mut list = InstanceList {
            lag: Duration::from_millis(options.list_lag_ms),
            ttl: (options.list_ttl_ms > 0).then(|| Duration::from_millis(options.list_ttl_ms)),
            workers: BTreeMap::new(),
            entries: BTreeMap::new(),
            published: first_list.clone(),
            published_at: now,
        };
        list.upsert(first_list, None);
        Self {
            faults: PlatformFaults::default(),
            objects: HashMap::new(),
            rows: BTreeMap::new(),
            next_version: 1,
            list,
            writes: TokenBucket::new(options.writes_per_s),
            reads: TokenBucket::new(options.reads_per_s),
            started_at: now,
            stats: PlatformStats::default(),
            replies: 0,
        }
    }

    pub fn stats(&self) -> PlatformStats {
        self.stats.clone()
    }

    /// Counts a write; returns whether it is within the limit.
    pub fn admit_write(&mut self) -> bool {
        let now = Instant::now();
        self.stats.writes += 1;
        let arrivals = &mut self.stats.write_arrivals_ms;
        if arrivals.len() == PlatformStats::MAX_ARRIVALS {
            arrivals.drain(..PlatformStats::MAX_ARRIVALS / 2);
        }
        arrivals.push(now.duration_since(self.started_at).as_millis() as u64);
        let is_admitted = self.writes.take(now);
        self.stats.over_limit += u64::from(!is_admitted);
        is_admitted
    }

    /// Counts a read; returns whether it is within the limit.
    pub fn admit_read(&mut self) -> bool {
        self.stats.reads += 1;
        let is_admitted = self.reads.take(Instant::now());
        self.stats.over_limit += u64::from(!is_admitted);
        is_admitted
    }

    /// Counts the reply to a write that took effect; returns whether a fault drops it.
    pub fn count_reply(&mut self) -> bool {
        self.replies += 1;
        let faults = &mut self.faults;
        let is_lost = if faults.lose_next > 0 {
            faults.lose_next -= 1;
            true
        } else {
            faults.lose_every > 0 && self.replies.is_multiple_of(faults.lose_every)
        };
        self.stats.lost += u64::from(is_lost);
        is_lost
    }

    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let from = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        self.rows
            .range::<str, _>((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Applies all puts if all conditions hold.
    pub fn commit(&mut self, txn: &Txn) -> Result<Vec<u64>, ConflictBody> {
        for put in &txn.puts {
            let current = self.rows.get(&put.key);
            let holds = match put.expected {
                Expected::Absent => current.is_none(),
                Expected::Version(version) => current.is_some_and(|row| row.version == version),
                Expected::Any => true,
            };
            if !holds {
                self.stats.conflicts += 1;
                return Err(ConflictBody {
                    key: put.key.clone(),
                    current: current.cloned(),
                });
            }
        }
        Ok(txn
            .puts
            .iter()
            .map(|put| {
                let Some(value) = put.value.clone() else {
                    self.rows.remove(&put.key);
                    return 0;
                };
                // One counter for the whole table: a version never repeats for a key, even after a deletion.
                let version = self.next_version;
                self.next_version += 1;
                let key = put.key.clone();
                self.rows.insert(put.key.clone(), Row { key, version, value });
                version
            })
            .collect())
    }

    pub fn register(&mut self, listing: Listing) {
        self.list.upsert(listing, Some(Instant::now()));
    }

    pub fn listing(&mut self) -> Listing {
        let now = Instant::now();
        if !self.faults.freeze_list && now.duration_since(self.list.published_at) >= self.list.lag {
            self.list.publish(now);
        }
        self.list.published.clone()
    }
}

impl InstanceList {
    fn upsert(&mut self, listing: Listing, at: Option<Instant>) {
        for worker in listing.workers {
            self.workers.insert(worker.id.as_str().to_owned(), (worker, at));
        }
        for entry in listing.entries {
            self.entries.insert(entry.id.as_str().to_owned(), (entry, at));
        }
    }

    fn publish(&mut self, now: Instant) {
        let ttl = self.ttl;
        let is_kept = |at: &Option<Instant>| match (ttl, at) {
            (Some(ttl), Some(at)) => now.duration_since(*at) < ttl,
            _ => true,
        };
        self.workers.retain(|_, (_, at)| is_kept(at));
        self.entries.retain(|_, (_, at)| is_kept(at));
        self.published = Listing {
            workers: self.workers.values().map(|(worker, _)| worker.clone()).collect(),
            entries: self.entries.values().map(|(entry, _)| entry.clone()).collect(),
        };
        self.published_at = now;
    }
}
