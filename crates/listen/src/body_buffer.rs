/// Bytes of an unfinished body, in segments.
///
/// One buffer of the announced size would become resident as a whole where the machine uses huge pages, and a buffer
/// that grows would leave its earlier copies to the allocator: both hold several times the bytes that arrived.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    size_bytes: usize,
}

impl BodyBuffer {
    const SEGMENT_BYTES: usize = 16 * 1_024;

    /// Returns the number of bytes.
    pub const fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Appends a chunk.
    pub fn push(&mut self, mut chunk: &[u8]) {
        self.size_bytes += chunk.len();
        while !chunk.is_empty() {
            if self.last.len() == Self::SEGMENT_BYTES {
                self.full.push(std::mem::take(&mut self.last));
            }
            let (now, later) = chunk.split_at(chunk.len().min(Self::SEGMENT_BYTES - self.last.len()));
            self.last.extend_from_slice(now);
            chunk = later;
        }
    }

    /// Returns the first bytes, if there are as many; they have to fit into a segment.
    pub fn first<const N: usize>(&self) -> Option<[u8; N]> {
        let segment = self.full.first().unwrap_or(&self.last);
        segment.first_chunk().copied()
    }

    /// Returns the body as a whole; one that fits into a segment is not copied.
    pub fn into_bytes(self) -> Vec<u8> {
        if self.full.is_empty() {
            return self.last;
        }
        let mut bytes = Vec::with_capacity(self.size_bytes);
        for segment in self.full {
            bytes.extend_from_slice(&segment);
        }
        bytes.extend_from_slice(&self.last);
        bytes
    }
}
