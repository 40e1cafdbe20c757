/// Finds the ends of request heads in a stream of bytes: an empty line, with or without carriage returns.
///
/// Bodies are not told apart; an empty line in a body only ends a turn of reading early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HeadScanner {
    /// Whether the line that has begun is empty so far. False before the first line.
    is_line_empty: bool,
}

impl HeadScanner {
    /// Creates a scanner at the begin of a connection.
    pub const fn new() -> Self {
        Self { is_line_empty: false }
    }

    /// Returns the number of bytes up to and including the end of the `heads`-th head, or all if there are fewer.
    pub fn split(&mut self, bytes: &[u8], heads: usize) -> usize {
        let mut found = 0;
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.is_line_empty => {
                    found += 1;
                    if found == heads {
                        return index + 1;
                    }
                }
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        bytes.len()
    }
}
