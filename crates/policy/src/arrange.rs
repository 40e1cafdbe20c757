use model::Adjacency;
use smallvec::SmallVec;

/// Worker with capacity for `count` parts. Lists of candidates are in topology order.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<K> {
    pub key: K,
    pub rack: u32,
    pub count: u16,
}

/// Number of parts for each chosen worker.
pub(crate) type Arrangement<K> = SmallVec<[(K, u16); 4]>;

/// Chooses workers of one data centre for `parts` parts: one worker, else one rack, else the shortest run of
/// neighbouring racks. Ties go to the best fit, so that large free regions are not fragmented.
pub(crate) fn arrange<K: Copy>(
    candidates: &[Candidate<K>],
    parts: u16,
    adjacency: Adjacency,
) -> Option<Arrangement<K>> {
    let single = candidates.iter().filter(|c| c.count >= parts).min_by_key(|c| c.count);
    if let Some(worker) = single {
        return Some(SmallVec::from_elem((worker.key, parts), 1));
    }
    if adjacency == Adjacency::Worker || parts < 2 {
        return None;
    }
    let racks = rack_totals(candidates);
    let best = racks
        .iter()
        .filter(|rack| rack.total >= u32::from(parts))
        .min_by_key(|rack| rack.total);
    if let Some(rack) = best {
        return Some(fill(&candidates[rack.first..rack.end], parts));
    }
    if adjacency == Adjacency::Rack {
        return None;
    }
    let (first, end) = shortest_run(racks.iter().map(|rack| rack.total), parts)?;
    Some(fill(&candidates[racks[first].first..racks[end - 1].end], parts))
}

/// Returns the range of the shortest run of racks that together hold `parts`; ties go to the best fit.
pub(crate) fn shortest_run(totals: impl Iterator<Item = u32>, parts: u16) -> Option<(usize, usize)> {
    let totals: SmallVec<[u32; 32]> = totals.collect();
    let (mut sum, mut first, mut best) = (0, 0, None);
    for (end, total) in totals.iter().enumerate() {
        sum += total;
        while sum - totals[first] >= u32::from(parts) {
            sum -= totals[first];
            first += 1;
        }
        if sum >= u32::from(parts) {
            let run = (end + 1 - first, sum, first);
            if best.is_none_or(|known| run < known) {
                best = Some(run);
            }
        }
    }
    best.map(|(length, _, first)| (first, first + length))
}

struct RackTotal {
    first: usize,
    end: usize,
    total: u32,
}

fn rack_totals<K>(candidates: &[Candidate<K>]) -> SmallVec<[RackTotal; 16]> {
    let mut racks: SmallVec<[RackTotal; 16]> = SmallVec::new();
    for (index, candidate) in candidates.iter().enumerate() {
        match racks.last_mut() {
            Some(last) if candidates[last.first].rack == candidate.rack => {
                last.total += u32::from(candidate.count);
                last.end = index + 1;
            }
            _ => racks.push(RackTotal {
                first: index,
                end: index + 1,
                total: candidate.count.into(),
            }),
        }
    }
    racks
}

/// Packs the parts onto as few workers as possible; the last worker is the best fit for the remainder.
fn fill<K: Copy>(candidates: &[Candidate<K>], parts: u16) -> Arrangement<K> {
    let mut order: SmallVec<[usize; 16]> = (0..candidates.len()).filter(|&i| candidates[i].count > 0).collect();
    order.sort_by_key(|&i| (std::cmp::Reverse(candidates[i].count), i));
    let mut chosen = Arrangement::new();
    let mut rest = parts;
    let mut next = 0;
    while rest > 0 {
        let largest = candidates[order[next]].count;
        if largest >= rest {
            let fitting = order[next..].iter().filter(|&&i| candidates[i].count >= rest);
            let last = fitting
                .min_by_key(|&&i| (candidates[i].count, i))
                .expect("the largest candidate holds the remaining parts");
            chosen.push((candidates[*last].key, rest));
            return chosen;
        }
        chosen.push((candidates[order[next]].key, largest));
        rest -= largest;
        next += 1;
    }
    chosen
}
