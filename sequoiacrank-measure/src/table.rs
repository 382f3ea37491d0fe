//! Text tables with aligned columns.

use std::fmt;

/// Writes a header and rows, each column as wide as its widest cell.
pub fn write(
    f: &mut fmt::Formatter<'_>,
    header: &[&str],
    rows: &[Vec<String>],
) -> Result<(), fmt::Error> {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    write_row(f, &widths, header.iter().copied())?;
    for row in rows {
        write_row(f, &widths, row.iter().map(String::as_str))?;
    }
    Ok(())
}

fn write_row<'a, I>(
    f: &mut fmt::Formatter<'_>,
    widths: &[usize],
    cells: I,
) -> Result<(), fmt::Error>
where
    I: Iterator<Item = &'a str>,
{
    let padded: Vec<_> =
        cells.zip(widths).map(|(cell, &width)| format!("{cell:<width$}")).collect();
    writeln!(f, "{}", padded.join("  ").trim_end())
}
