//! Text tables with aligned columns.

/// Text table with a heading row.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

/// Separator between columns.
const COLUMN_GAP: &str = "  ";

impl Table {
    /// Creates a table that has only a heading.
    pub(crate) fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|cell| (*cell).to_string()).collect();
        Self {
            rows: vec![heading],
        }
    }

    pub(crate) fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Renders the table as text that ends with a line break.
    pub(crate) fn render(&self) -> String {
        let widths = self.column_widths();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let cells: Vec<_> = cells
                .map(|(cell, &width)| format!("{cell:width$}"))
                .collect();
            text.push_str(cells.join(COLUMN_GAP).trim_end());
            text.push('\n');
        }
        text
    }

    fn column_widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells
                .map(|cell: &String| cell.chars().count())
                .max()
                .unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}
