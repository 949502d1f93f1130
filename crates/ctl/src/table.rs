//! Text tables with aligned columns.

#[derive(Debug)]
pub(crate) struct Table {
    /// Cells by row; the first row holds the column names.
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(columns: &[&str]) -> Self {
        Self { rows: vec![columns.iter().map(|it| (*it).to_owned()).collect()] }
    }

    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the aligned text, or `none` if the table has no rows.
    pub(crate) fn render(&self) -> String {
        if self.rows.len() < 2 {
            return "none\n".to_owned();
        }
        let columns = self.rows[0].len();
        let column_width = |column: usize| {
            let cells = self.rows.iter().filter_map(|it| it.get(column));
            cells.map(|it| it.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(column_width).collect();
        let mut res = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}  ", width = *width));
            }
            res.push_str(line.trim_end());
            res.push('\n');
        }
        res
    }
}
