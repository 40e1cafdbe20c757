/// Returns an estimate of the memory that a JSON text takes once it is decoded into a tree of values.
///
/// A tree of small values takes many times its text, as each object allocates a node of its own. Separators in strings are
/// counted like others, so that a text with many of them is estimated too high.
pub fn decoded_bytes(json: &[u8]) -> u64 {
    /// Value, with the spare capacity of its list.
    const VALUE_BYTES: u64 = 43;
    /// Node of an object with its first key.
    const OBJECT_BYTES: u64 = 640;
    /// Key of an object, its value and its share of a further node.
    const ENTRY_BYTES: u64 = 128;
    let separators = json.iter().map(|byte| match byte {
        b',' | b'[' => VALUE_BYTES,
        b'{' => OBJECT_BYTES,
        b':' => ENTRY_BYTES,
        _ => 0,
    });
    json.len() as u64 + separators.sum::<u64>()
}
