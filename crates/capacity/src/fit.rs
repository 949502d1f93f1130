//! Least squares with non-negative coefficients.

/// Returns the coefficients by which the columns of `rows` add up to `values` with the least
/// squared error, one per column.
///
/// A cost cannot fall with a size, so as long as a coefficient is negative, the column with the
/// smallest one is excluded and gets 0.
pub fn non_negative_least_squares(rows: &[Vec<f64>], values: &[f64]) -> Vec<f64> {
    let column_count = rows.first().map_or(0, Vec::len);
    let mut columns: Vec<usize> = (0..column_count).collect();
    loop {
        let coefficients = solve_normal_equations(rows, values, &columns);
        let smallest = coefficients.iter().zip(&columns).min_by(|a, b| a.0.total_cmp(b.0));
        match smallest {
            Some((coefficient, column)) if *coefficient < 0.0 => {
                let column = *column;
                columns.retain(|it| *it != column);
            }
            _ => {
                let mut res = vec![0.0; column_count];
                for (coefficient, column) in coefficients.into_iter().zip(columns) {
                    res[column] = coefficient;
                }
                return res;
            }
        }
    }
}

/// Solves the normal equations over the given columns by Gauss-Jordan elimination. A column that
/// depends linearly on others gets the coefficient 0.
fn solve_normal_equations(rows: &[Vec<f64>], values: &[f64], columns: &[usize]) -> Vec<f64> {
    let size = columns.len();
    // Columns have different units; scaling lets one threshold find linearly dependent columns.
    let scales: Vec<f64> = columns
        .iter()
        .map(|column| rows.iter().map(|it| it[*column].abs()).fold(0.0, f64::max).max(1e-12))
        .collect();
    let mut matrix = vec![vec![0.0; size + 1]; size];
    for (row, value) in rows.iter().zip(values) {
        for a in 0..size {
            let scaled = row[columns[a]] / scales[a];
            for b in 0..size {
                matrix[a][b] += scaled * row[columns[b]] / scales[b];
            }
            matrix[a][size] += scaled * value;
        }
    }
    for pivot in 0..size {
        let largest = (pivot..size)
            .max_by(|a, b| matrix[*a][pivot].abs().total_cmp(&matrix[*b][pivot].abs()))
            .unwrap_or(pivot);
        matrix.swap(pivot, largest);
        if matrix[pivot][pivot].abs() < 1e-9 {
            continue;
        }
        let pivot_row = matrix[pivot].clone();
        for (index, row) in matrix.iter_mut().enumerate() {
            if index != pivot {
                let factor = row[pivot] / pivot_row[pivot];
                for (cell, pivot_cell) in row.iter_mut().zip(&pivot_row) {
                    *cell -= factor * pivot_cell;
                }
            }
        }
    }
    let coefficients = matrix.iter().enumerate().map(|(index, row)| {
        if row[index].abs() < 1e-9 { 0.0 } else { row[size] / row[index] / scales[index] }
    });
    coefficients.collect()
}
