//! Least squares with coefficients that are not negative.

/// Coefficients by which the columns of `rows` add up to `values` with the least squared error.
///
/// A cost cannot fall with size, so a column whose coefficient would be negative is left out.
pub fn non_negative_least_squares(rows: &[Vec<f64>], values: &[f64]) -> Vec<f64> {
    let width = rows.first().map_or(0, Vec::len);
    let mut used: Vec<usize> = (0..width).collect();
    loop {
        let solved = solve(rows, values, &used);
        let least = solved.iter().zip(&used).min_by(|a, b| a.0.total_cmp(b.0));
        match least {
            Some((value, column)) if *value < 0.0 => {
                let column = *column;
                used.retain(|it| *it != column);
            }
            _ => {
                let mut res = vec![0.0; width];
                for (value, column) in solved.into_iter().zip(used) {
                    res[column] = value;
                }
                return res;
            }
        }
    }
}

/// Solves the normal equations over some columns; a column without own information gets 0.
fn solve(rows: &[Vec<f64>], values: &[f64], used: &[usize]) -> Vec<f64> {
    let size = used.len();
    // Columns of different units are scaled, so that one threshold finds dependent ones.
    let scale: Vec<f64> = used
        .iter()
        .map(|column| rows.iter().map(|it| it[*column].abs()).fold(0.0, f64::max).max(1e-12))
        .collect();
    let mut matrix = vec![vec![0.0; size + 1]; size];
    for (row, value) in rows.iter().zip(values) {
        for a in 0..size {
            let left = row[used[a]] / scale[a];
            for b in 0..size {
                matrix[a][b] += left * row[used[b]] / scale[b];
            }
            matrix[a][size] += left * value;
        }
    }
    for pivot in 0..size {
        let best = (pivot..size)
            .max_by(|a, b| matrix[*a][pivot].abs().total_cmp(&matrix[*b][pivot].abs()))
            .unwrap_or(pivot);
        matrix.swap(pivot, best);
        if matrix[pivot][pivot].abs() < 1e-9 {
            continue;
        }
        let head = matrix[pivot].clone();
        for (at, row) in matrix.iter_mut().enumerate() {
            if at != pivot {
                let factor = row[pivot] / head[pivot];
                for (cell, from) in row.iter_mut().zip(&head) {
                    *cell -= factor * from;
                }
            }
        }
    }
    let solved = matrix
        .iter()
        .enumerate()
        .map(|(at, row)| if row[at].abs() < 1e-9 { 0.0 } else { row[size] / row[at] / scale[at] });
    solved.collect()
}
