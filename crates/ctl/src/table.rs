//! Text tables.

/// Rows below a line of column names.
#[derive(Debug)]
pub(crate) struct Table {
    /// The names and the rows.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub(crate) fn new(columns: &[&str]) -> Self {
        Self { rows: vec![columns.iter().map(|it| (*it).to_owned()).collect()] }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The aligned text, without names when there is no row.
    pub(crate) fn render(&self) -> String {
        if self.rows.len() < 2 {
            return "none\n".to_owned();
        }
        let columns = self.rows[0].len();
        let width = |at: usize| {
            let cells = self.rows.iter().filter_map(|it| it.get(at));
            cells.map(|it| it.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
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
