use crate::Record;

/// Merges the records of several processes into one order and removes duplicates.
///
/// The order is by time, then process, then sequence. Clocks of processes may differ, so the order within a process
/// always follows its sequence numbers: a record never sorts before an earlier one of the same process.
pub fn merge(records: impl IntoIterator<Item = Record>) -> Vec<Record> {
    let mut records: Vec<Record> = records.into_iter().collect();
    records.sort_by(|a, b| (&a.process, a.sequence).cmp(&(&b.process, b.sequence)));
    records.dedup_by(|a, b| a.process == b.process && a.sequence == b.sequence);

    // The sort key never decreases within a process, so that a clock stepping back does not reorder its events.
    let mut sort_keys_ms = Vec::with_capacity(records.len());
    let mut latest_ms = 0;
    for (index, record) in records.iter().enumerate() {
        let is_first = index == 0 || records[index - 1].process != record.process;
        latest_ms = if is_first {
            record.at_unix_ms
        } else {
            record.at_unix_ms.max(latest_ms)
        };
        sort_keys_ms.push(latest_ms);
    }
    let mut merged: Vec<(u64, Record)> = sort_keys_ms.into_iter().zip(records).collect();
    merged.sort_by_key(|(at_unix_ms, _)| *at_unix_ms);
    merged.into_iter().map(|(_, record)| record).collect()
}
