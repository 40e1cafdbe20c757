/// Least-squares plane `fixed + per_task * tasks + per_worker * workers`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinearFit {
    /// Constant term.
    pub fixed: f64,
    /// Increase per task.
    pub per_task: f64,
    /// Increase per worker.
    pub per_worker: f64,
    /// Largest deviation of a point from the plane, as a share of the largest value.
    pub worst_deviation: f64,
}

impl LinearFit {
    /// Fits points of tasks, workers and value.
    ///
    /// # Panics
    ///
    /// Panics if the points do not vary in both tasks and workers.
    pub fn new(points: &[(f64, f64, f64)]) -> Self {
        let mut matrix = [[0.0; 4]; 3];
        for (tasks, workers, value) in points {
            let row = [1.0, *tasks, *workers];
            for (i, left) in row.iter().enumerate() {
                for (j, right) in row.iter().enumerate() {
                    matrix[i][j] += left * right;
                }
                matrix[i][3] += left * value;
            }
        }
        for pivot in 0..3 {
            let divisor = matrix[pivot][pivot];
            assert!(divisor.abs() > f64::EPSILON, "points vary in tasks and in workers");
            matrix[pivot].iter_mut().for_each(|cell| *cell /= divisor);
            let pivot_row = matrix[pivot];
            for (index, row) in matrix.iter_mut().enumerate() {
                if index != pivot {
                    let factor = row[pivot];
                    row.iter_mut()
                        .zip(pivot_row)
                        .for_each(|(cell, other)| *cell -= factor * other);
                }
            }
        }
        let mut fit = Self {
            fixed: matrix[0][3],
            per_task: matrix[1][3],
            per_worker: matrix[2][3],
            worst_deviation: 0.0,
        };
        let largest = points.iter().map(|point| point.2.abs()).fold(f64::EPSILON, f64::max);
        let deviation = |point: &(f64, f64, f64)| (fit.at(point.0, point.1) - point.2).abs() / largest;
        fit.worst_deviation = points.iter().map(deviation).fold(0.0, f64::max);
        fit
    }

    /// Returns the value at a size.
    pub fn at(&self, tasks: f64, workers: f64) -> f64 {
        self.fixed + self.per_task * tasks + self.per_worker * workers
    }
}
