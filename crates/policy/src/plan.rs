use model::{Adjacency, Config, DataCentreId, OrganisationId, Resources, Shape, Topology};
use smallvec::SmallVec;

use crate::amount::Amount;
use crate::arrange::{Arrangement, Candidate, arrange};

/// One guaranteed shape and the workers that provide it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slice {
    /// Organisation that owns the guarantee.
    pub organisation: OrganisationId,
    /// Guaranteed shape.
    pub shape: Shape,
    /// Data centre that must provide it, if the configuration names one.
    pub data_centre: Option<DataCentreId>,
    /// Position in [`Topology::workers`] and number of parts there; empty if the shape could not be packed.
    pub workers: SmallVec<[(u32, u16); 4]>,
}

impl Slice {
    /// Returns whether the shape could not be packed.
    pub fn is_lost(&self) -> bool {
        self.workers.is_empty()
    }
}

/// Assignment of every guaranteed shape to workers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// One entry per guaranteed shape, in the order of the configuration.
    pub slices: Vec<Slice>,
}

impl Plan {
    /// Computes the plan as a pure function of its arguments.
    ///
    /// `usable` holds what the plan may use of each worker of [`Topology::workers`]; zero for a worker that is down.
    /// Slices of `previous` stay where they are if they still fit. If keeping them makes a shape unpackable, the plan
    /// is also computed from scratch, and the plan with the fewest lost shapes is returned.
    pub fn compute(config: &Config, topology: &Topology, usable: &[Resources], previous: &Self) -> Self {
        let packer = Packer::new(topology, usable);
        let kept = packer.pack(config, previous, PackingOrder::Domain);
        if kept.lost() == 0 {
            return kept;
        }
        let none = Self::default();
        let mut best = kept;
        for order in [PackingOrder::Domain, PackingOrder::Part] {
            let fresh = packer.pack(config, &none, order);
            if fresh.lost() < best.lost() {
                best = fresh;
            }
        }
        best
    }

    /// Returns how many shapes could not be packed.
    pub fn lost(&self) -> usize {
        self.slices.iter().filter(|slice| slice.is_lost()).count()
    }

    /// Returns how many slices of `self` have no identical slice in `previous`.
    pub fn moved_from(&self, previous: &Self) -> usize {
        let mut taken = vec![false; previous.slices.len()];
        self.slices
            .iter()
            .filter(|slice| {
                let same = (0..taken.len()).find(|&i| !taken[i] && previous.slices[i] == **slice);
                same.inspect(|&i| taken[i] = true).is_none()
            })
            .count()
    }

    /// Returns what one part of a guaranteed shape reserves on a worker: its slot, its accelerators, and the same
    /// share of processor time and memory.
    pub fn need_on(shape: Shape, capacity: Resources) -> Resources {
        let (part, whole) = if shape.accelerators_per_part > 0 {
            (u64::from(shape.accelerators_per_part), u64::from(capacity.accelerators))
        } else {
            (1, u64::from(capacity.slots))
        };
        let portion = |amount: u32| (u64::from(amount) * part.min(whole)).checked_div(whole).unwrap_or(0) as u32;
        Resources::new(
            1,
            shape.accelerators_per_part,
            portion(capacity.cpu_milli),
            portion(capacity.memory_mib),
        )
    }
}

#[derive(Clone, Copy)]
enum PackingOrder {
    /// Shapes that need the most accelerators within one worker or rack first.
    Domain,
    /// Shapes with the largest single parts first.
    Part,
}

struct Packer<'a> {
    topology: &'a Topology,
    /// Rack of each worker, numbered over all data centres.
    racks: Vec<u32>,
    /// Range of worker positions of each data centre.
    ranges: Vec<(usize, usize)>,
    capacity: Vec<Resources>,
    usable: Vec<Amount>,
}

impl<'a> Packer<'a> {
    fn new(topology: &'a Topology, usable: &[Resources]) -> Self {
        let (mut racks, mut ranges, mut rack) = (Vec::new(), Vec::new(), 0);
        for dc in &topology.data_centres {
            let first = racks.len();
            for members in &dc.racks {
                racks.extend(members.workers.iter().map(|_| rack));
                rack += 1;
            }
            ranges.push((first, racks.len()));
        }
        Self {
            topology,
            racks,
            ranges,
            capacity: topology.workers().map(|worker| worker.capacity).collect(),
            usable: usable.iter().map(|&amount| amount.into()).collect(),
        }
    }

    fn pack(&self, config: &Config, previous: &Plan, order: PackingOrder) -> Plan {
        let mut free = self.usable.clone();
        let mut slices: Vec<Slice> = config
            .organisations
            .iter()
            .flat_map(|organisation| {
                organisation.guarantees.iter().flat_map(move |guarantee| {
                    (0..guarantee.count).map(move |_| Slice {
                        organisation: organisation.id.clone(),
                        shape: guarantee.shape,
                        data_centre: guarantee.data_centre.clone(),
                        workers: SmallVec::new(),
                    })
                })
            })
            .collect();
        self.keep_previous(&mut slices, previous, &mut free);
        let mut rest: Vec<usize> = (0..slices.len()).filter(|&i| slices[i].is_lost()).collect();
        rest.sort_by_key(|&i| {
            let (shape, pinned) = (slices[i].shape, slices[i].data_centre.is_some());
            let part_size = match shape.adjacency {
                Adjacency::Worker => shape.accelerators(),
                _ => shape.accelerators_per_part.into(),
            };
            let domain = match shape.adjacency {
                Adjacency::DataCentre => part_size,
                _ => shape.accelerators(),
            };
            let key = match order {
                PackingOrder::Domain => (domain, part_size),
                PackingOrder::Part => (part_size, domain),
            };
            (std::cmp::Reverse(pinned), std::cmp::Reverse(key), i)
        });
        for index in rest {
            self.place(&mut slices[index], &mut free);
        }
        Plan { slices }
    }

    /// Keeps slices of the previous plan on their workers if they still fit.
    fn keep_previous(&self, slices: &mut [Slice], previous: &Plan, free: &mut [Amount]) {
        let mut known: std::collections::BTreeMap<_, Vec<&Slice>> = std::collections::BTreeMap::new();
        let key = |slice: &Slice| {
            let shape = slice.shape;
            (
                slice.organisation.clone(),
                slice.data_centre.clone(),
                shape.parts,
                shape.accelerators_per_part,
                shape.adjacency,
            )
        };
        for slice in previous.slices.iter().rev().filter(|slice| !slice.is_lost()) {
            known.entry(key(slice)).or_default().push(slice);
        }
        for slice in slices {
            let Some(list) = known.get_mut(&key(slice)) else {
                continue;
            };
            while let Some(old) = list.pop() {
                let fits = old.workers.iter().all(|&(worker, parts)| {
                    let worker = worker as usize;
                    worker < free.len() && free[worker].fits(self.need(slice.shape, worker).times(parts))
                });
                if fits {
                    self.assign(slice, old.workers.clone(), free);
                    break;
                }
            }
        }
    }

    fn place(&self, slice: &mut Slice, free: &mut [Amount]) {
        let mut best: Option<(i32, Arrangement<u32>)> = None;
        for (dc, &(first, end)) in self.topology.data_centres.iter().zip(&self.ranges) {
            if slice.data_centre.as_ref().is_some_and(|wanted| *wanted != dc.id) {
                continue;
            }
            let candidates: Vec<_> = (first..end)
                .map(|worker| Candidate {
                    key: worker as u32,
                    rack: self.racks[worker],
                    count: free[worker].count_of(self.need(slice.shape, worker)),
                })
                .collect();
            if let Some(workers) = arrange(&candidates, slice.shape.parts, slice.shape.adjacency) {
                // The data centre with the most accelerators left spreads the guarantees, so that an outage hits few.
                let left = free[first..end].iter().map(|amount| amount.accelerators).sum();
                if best.as_ref().is_none_or(|(most, _)| left > *most) {
                    best = Some((left, workers));
                }
            }
        }
        if let Some((_, workers)) = best {
            self.assign(slice, workers, free);
        }
    }

    fn assign(&self, slice: &mut Slice, workers: Arrangement<u32>, free: &mut [Amount]) {
        for &(worker, parts) in &workers {
            free[worker as usize] -= self.need(slice.shape, worker as usize).times(parts);
        }
        slice.workers = workers;
    }

    fn need(&self, shape: Shape, worker: usize) -> Amount {
        Plan::need_on(shape, self.capacity[worker]).into()
    }
}
