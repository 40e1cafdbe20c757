use std::collections::{BTreeMap, BTreeSet};

use model::{DataCentreId, Resources, Shape, Topology, WorkerId};
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::WorkerKey;
use crate::amount::Amount;
use crate::arrange::{Arrangement, Candidate, arrange, shortest_run};
use crate::capacity_index::CapacityIndex;
use crate::health::Health;
use crate::worker::{View, Worker, WorkerStatus};

/// Workers of all data centres with their free-capacity indexes.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub workers: SlotMap<WorkerKey, Worker>,
    /// Workers in topology order.
    pub order: Vec<WorkerKey>,
    pub racks: Vec<Vec<WorkerKey>>,
    pub dcs: Vec<Dc>,
    ids: BTreeMap<WorkerId, WorkerKey>,
}

/// Data centre with its totals over usable workers.
#[derive(Debug)]
pub(crate) struct Dc {
    pub id: DataCentreId,
    pub in_service: bool,
    /// When the data centre returned to service; set during slow start.
    pub resumed_ms: Option<u64>,
    pub starts_since_resume: u32,
    pub indexes: [CapacityIndex; 4],
    /// Workers with borrowers, by the time when the last one was placed.
    borrowed: BTreeSet<(u64, WorkerKey)>,
    /// Capacity and free capacity of the workers that are up and in service.
    pub total: Amount,
    pub free: Amount,
    /// Accelerators of usable workers that run nothing.
    pub idle_accelerators: u32,
    /// Worker capacities of each rack with their counts, for the check whether a shape can ever fit.
    rack_kinds: Vec<Vec<(Resources, u32)>>,
    racks: std::ops::Range<usize>,
}

/// Need of one part, and the shape to place.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementRequest {
    pub need: Amount,
    pub shape: Shape,
}

impl Cluster {
    /// Bound on racks tried. The index ignores processors, memory and excluded workers, so the first rack may not fit.
    const MAX_RACKS_TRIED: usize = 6;

    pub fn new(topology: &Topology) -> Self {
        let mut cluster = Self {
            workers: SlotMap::with_key(),
            order: Vec::new(),
            racks: Vec::new(),
            dcs: Vec::new(),
            ids: BTreeMap::new(),
        };
        for dc in &topology.data_centres {
            let first = cluster.racks.len();
            let mut rack_kinds = Vec::new();
            for rack in &dc.racks {
                let mut rack_kind: Vec<(Resources, u32)> = Vec::new();
                let mut members = Vec::new();
                for worker in &rack.workers {
                    match rack_kind.iter_mut().find(|(capacity, _)| *capacity == worker.capacity) {
                        Some((_, count)) => *count += 1,
                        None => rack_kind.push((worker.capacity, 1)),
                    }
                    let capacity = Amount::from(worker.capacity);
                    members.push(cluster.workers.insert(Worker {
                        id: worker.id.clone(),
                        dc: cluster.dcs.len(),
                        rack: cluster.racks.len() as u32,
                        capacity,
                        free: capacity,
                        stopping: Amount::default(),
                        granted: Amount::default(),
                        non_evictable: Amount::default(),
                        guaranteed: Amount::default(),
                        uncharged: Amount::default(),
                        reserved: Amount::default(),
                        borrowers: 0,
                        borrowed_ms: 0,
                        portions: SmallVec::new(),
                        jobs: SmallVec::new(),
                        status: WorkerStatus::Up,
                        quarantined: false,
                        in_service: false,
                        excluded_until_ms: 0,
                        refusals: 0,
                        health: Health::default(),
                        indexed: [None; 4],
                    }));
                }
                for &key in &members {
                    cluster.ids.insert(cluster.workers[key].id.clone(), key);
                }
                rack_kinds.push(rack_kind);
                cluster.order.extend(&members);
                cluster.racks.push(members);
            }
            let max = dc
                .workers()
                .map(|worker| worker.capacity.accelerators)
                .max()
                .unwrap_or(0);
            let index = || CapacityIndex::new(max, first as u32, dc.racks.len());
            cluster.dcs.push(Dc {
                id: dc.id.clone(),
                in_service: false,
                resumed_ms: None,
                starts_since_resume: 0,
                indexes: [index(), index(), index(), index()],
                borrowed: BTreeSet::new(),
                total: Amount::default(),
                free: Amount::default(),
                idle_accelerators: 0,
                rack_kinds,
                racks: first..first + dc.racks.len(),
            });
        }
        for dc in &mut cluster.dcs {
            dc.rack_kinds.sort_by_key(|rack_kind| {
                rack_kind
                    .iter()
                    .map(|(c, n)| (c.accelerators, c.slots, *n))
                    .collect::<Vec<_>>()
            });
        }
        cluster
    }

    pub fn key(&self, id: &WorkerId) -> Option<WorkerKey> {
        self.ids.get(id).copied()
    }

    /// Changes a worker and updates indexes and totals.
    pub fn change<R>(&mut self, key: WorkerKey, change: impl FnOnce(&mut Worker) -> R) -> R {
        let worker = &mut self.workers[key];
        let dc = &mut self.dcs[worker.dc];
        let totals = |worker: &Worker| {
            if !worker.is_serving() {
                return (Amount::default(), Amount::default(), 0);
            }
            let idle = if worker.free == worker.capacity && worker.is_usable() {
                worker.capacity.accelerators as u32
            } else {
                0
            };
            (worker.capacity, worker.free, idle)
        };
        let before = totals(worker);
        let borrowed = |worker: &Worker| (worker.borrowers > 0).then_some((worker.borrowed_ms, key));
        let borrowed_before = borrowed(worker);
        let result = change(worker);
        let after = totals(worker);
        let borrowed_after = borrowed(worker);
        if borrowed_before != borrowed_after {
            borrowed_before.map(|entry| dc.borrowed.remove(&entry));
            borrowed_after.map(|entry| dc.borrowed.insert(entry));
        }
        dc.total = dc.total + after.0 - before.0;
        dc.free = dc.free + after.1 - before.1;
        dc.idle_accelerators = dc.idle_accelerators + after.2 - before.2;
        for view in View::ALL {
            let entry = worker.is_usable().then(|| {
                let available = worker.available(view);
                if available.is_overdrawn() {
                    (0, 0)
                } else {
                    (available.slots as u16, available.accelerators as u16)
                }
            });
            let old = worker.indexed[view as usize];
            if old != entry {
                dc.indexes[view as usize].update(key, worker.rack, old, entry);
                worker.indexed[view as usize] = entry;
            }
        }
        result
    }

    /// Returns whether the shape fits into some data centre when it is empty.
    pub fn ever_fits(&self, need: Resources, shape: Shape) -> bool {
        self.dcs.iter().any(|dc| dc.ever_fits(need, shape))
    }

    /// Finds workers of a data centre for all parts, using only capacity of the view and none of `excluded`.
    pub fn place(
        &self,
        dc: usize,
        view: View,
        request: PlacementRequest,
        excluded: &[WorkerKey],
    ) -> Option<Arrangement<WorkerKey>> {
        let index = &self.dcs[dc].indexes[view as usize];
        let Shape { parts, adjacency, .. } = request.shape;
        let size = usize::from(request.shape.accelerators_per_part);
        let (max_parts, _) = index.largest_rack(size)?;
        if max_parts == 0 {
            return None;
        }
        let total_need = request.need.times(parts);
        let single = index
            .workers(total_need.accelerators as usize)
            .find(|&key| !excluded.contains(&key) && self.workers[key].available(view).fits(total_need));
        if let Some(key) = single {
            return Some(SmallVec::from_elem((key, parts), 1));
        }
        if parts < 2 || adjacency == model::Adjacency::Worker {
            return None;
        }
        for rack in index.racks(size, parts).take(Self::MAX_RACKS_TRIED) {
            let candidates = self.candidates(&[rack], view, request, excluded);
            if let Some(found) = arrange(&candidates, parts, model::Adjacency::Rack) {
                return Some(found);
            }
        }
        if adjacency == model::Adjacency::Rack || index.counts(size).sum::<u32>() < u32::from(parts) {
            return None;
        }
        let (first, end) = shortest_run(index.counts(size), parts)?;
        let racks: SmallVec<[u32; 16]> = (first..end).map(|rack| rack as u32 + index.first_rack()).collect();
        let candidates = self.candidates(&racks, view, request, excluded);
        arrange(&candidates, parts, adjacency)
    }

    fn candidates(
        &self,
        racks: &[u32],
        view: View,
        request: PlacementRequest,
        excluded: &[WorkerKey],
    ) -> Vec<Candidate<WorkerKey>> {
        let members = racks.iter().flat_map(|&rack| &self.racks[rack as usize]);
        members
            .filter(|key| !excluded.contains(key))
            .filter_map(|&key| {
                let worker = &self.workers[key];
                let count = worker.available(view).count_of(request.need);
                (worker.is_usable() && count > 0).then_some(Candidate {
                    key,
                    rack: worker.rack,
                    count,
                })
            })
            .collect()
    }

    /// Finds the worker with the least capacity for work that is not evictable where the need still fits.
    ///
    /// This packs such work onto few workers and leaves the others free for gangs.
    pub fn place_non_evictable(&self, dc: usize, need: Amount, excluded: &[WorkerKey]) -> Option<WorkerKey> {
        let index = &self.dcs[dc].indexes[View::Unguaranteed as usize];
        index
            .workers(need.accelerators as usize)
            .find(|&key| !excluded.contains(&key) && self.workers[key].available(View::NonEvictable).fits(need))
    }

    /// Returns workers with borrowers, the one with the most recently placed borrower first.
    pub fn borrowed_workers(&self, dc: usize) -> impl Iterator<Item = WorkerKey> + '_ {
        self.dcs[dc].borrowed.iter().rev().map(|&(_, worker)| worker)
    }

    /// Returns the workers of a data centre in topology order.
    pub fn members(&self, dc: usize) -> impl Iterator<Item = WorkerKey> + '_ {
        self.racks[self.dcs[dc].racks.clone()].iter().flatten().copied()
    }
}

impl Dc {
    /// Time over which starts are throttled after the data centre returned to service.
    const SLOW_START_MS: u64 = 5_000;

    fn ever_fits(&self, need: Resources, shape: Shape) -> bool {
        let count = |rack_kind: &[(Resources, u32)]| -> u32 {
            rack_kind
                .iter()
                .map(|&(capacity, workers)| u32::from(capacity.count_of(need)) * workers)
                .sum()
        };
        let parts = u32::from(shape.parts);
        match shape.adjacency {
            model::Adjacency::Worker => {
                (self.rack_kinds.iter().flatten()).any(|&(capacity, _)| u32::from(capacity.count_of(need)) >= parts)
            }
            model::Adjacency::Rack => self.rack_kinds.iter().any(|rack_kind| count(rack_kind) >= parts),
            model::Adjacency::DataCentre => {
                self.rack_kinds.iter().map(|rack_kind| count(rack_kind)).sum::<u32>() >= parts
            }
        }
    }

    /// Returns whether that many parts may start now; in slow start the budget grows linearly to all slots.
    pub fn allows_start(&self, now_ms: u64, parts: u16) -> bool {
        let Some(resumed_ms) = self.resumed_ms else {
            return self.in_service;
        };
        let elapsed = now_ms.saturating_sub(resumed_ms).min(Self::SLOW_START_MS);
        let budget = self.total.slots.max(0) as u64 * elapsed / Self::SLOW_START_MS;
        self.in_service
            && (self.starts_since_resume == 0 && elapsed > 0
                || u64::from(self.starts_since_resume) + u64::from(parts) <= budget)
    }

    /// Ends the slow start once its time has passed.
    pub fn end_slow_start(&mut self, now_ms: u64) {
        if self
            .resumed_ms
            .is_some_and(|since| now_ms >= since + Self::SLOW_START_MS)
        {
            self.resumed_ms = None;
        }
    }
}
