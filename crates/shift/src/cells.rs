//! The cells that are compared: class, zone, first attempt or retry, groups of tenants, and their sums.
//!
//! A fault in one region of 27 is lost in an average, and a cell of all dimensions may have too few outcomes to show a
//! fault of a whole class. So an outcome counts in several cells at once: all, each dimension alone, each class by each
//! other dimension, and all dimensions together. Each such *level* has an equal part of the false-alarm rate, and so has
//! each cell of a level, so that no sum hides a bad cell.

/// One dimension: its name and the names of its values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dimension {
    /// `class`, `zone`, `repeat`, or a split from the operator's file.
    pub name: String,
    /// Its values, at least one.
    pub values: Vec<String>,
}

/// Maximum number of cells; each takes about 600 bytes.
pub const MAX_CELLS: usize = 4096;
/// Maximum number of dimensions.
pub const MAX_DIMENSIONS: usize = 6;

/// Why the cells cannot be created.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CellsError {
    /// A dimension without a value.
    #[error("the dimension `{0}` has no values")]
    Empty(String),
    /// Too many dimensions.
    #[error("{0} dimensions; at most {MAX_DIMENSIONS}")]
    Dimensions(usize),
    /// Too many cells.
    #[error("{0} cells; at most {MAX_CELLS}: name fewer splits or larger groups")]
    Cells(usize),
}

/// The cells of a shift. Dimension 0 is the class.
#[derive(Clone, Debug)]
pub struct Cells {
    dimensions: Vec<Dimension>,
    levels: Vec<Level>,
    count: usize,
}

#[derive(Clone, Debug)]
struct Level {
    /// The dimensions by which the level's cells differ.
    by: Vec<usize>,
    first: usize,
    cells: usize,
}

impl Cells {
    /// Creates the cells of these dimensions, the first of which is the class.
    pub fn new(dimensions: Vec<Dimension>) -> Result<Cells, CellsError> {
        if let Some(empty) = dimensions.iter().find(|d| d.values.is_empty()) {
            return Err(CellsError::Empty(empty.name.clone()));
        }
        if dimensions.len() > MAX_DIMENSIONS {
            return Err(CellsError::Dimensions(dimensions.len()));
        }
        let several = |d: &usize| dimensions[*d].values.len() > 1;
        let open: Vec<usize> = (0..dimensions.len()).filter(several).collect();
        let mut sets: Vec<Vec<usize>> = vec![Vec::new()];
        sets.extend(open.iter().map(|&d| vec![d]));
        sets.extend(open.iter().filter(|&&d| d > 0 && open.contains(&0)).map(|&d| vec![0, d]));
        sets.push(open);
        let mut seen: Vec<Vec<usize>> = Vec::new();
        sets.retain(|s| {
            let new = !seen.contains(s);
            seen.push(s.clone());
            new
        });
        let mut levels = Vec::new();
        let mut count = 0usize;
        for by in sets {
            let cells = by.iter().fold(1usize, |n, &d| n.saturating_mul(dimensions[d].values.len()));
            levels.push(Level { by, first: count, cells });
            count = count.saturating_add(cells);
        }
        if count > MAX_CELLS {
            return Err(CellsError::Cells(count));
        }
        Ok(Cells { dimensions, levels, count })
    }

    /// The number of cells.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Always false: the cell of all outcomes always exists.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The number of levels, from the cell of all outcomes to the finest.
    pub fn levels(&self) -> usize {
        self.levels.len()
    }

    /// The cells that an outcome counts in, one per level, by its value in each dimension. An unknown value counts as the
    /// dimension's last.
    pub fn cells_of<'a>(&'a self, values: &'a [usize]) -> impl Iterator<Item = usize> + 'a {
        self.levels.iter().map(move |level| {
            let within = level.by.iter().fold(0, |at, &d| {
                let most = self.dimensions[d].values.len();
                at * most + values.get(d).copied().unwrap_or(most - 1).min(most - 1)
            });
            level.first + within
        })
    }

    fn level(&self, cell: usize) -> &Level {
        let at = self.levels.partition_point(|l| l.first <= cell).saturating_sub(1);
        &self.levels[at]
    }

    /// The part of the false-alarm rate that a cell has; over all cells these add up to 1.
    pub fn weight(&self, cell: usize) -> f64 {
        1.0 / (self.levels.len() as f64 * self.level(cell).cells as f64)
    }

    /// Whether a step waits for evidence in this cell: the cell of all and those of a class. Finer ones may never have enough
    /// outcomes and are reported instead.
    pub fn requires_evidence(&self, cell: usize) -> bool {
        self.level(cell).by.iter().all(|&d| d == 0)
    }

    /// The cell's class, if its level separates classes.
    pub fn class(&self, cell: usize) -> Option<usize> {
        let level = self.level(cell);
        let at = level.by.iter().position(|&d| d == 0)?;
        let behind: usize = level.by[at + 1..].iter().map(|&d| self.dimensions[d].values.len()).product();
        Some((cell - level.first) / behind % self.dimensions[0].values.len())
    }

    /// The cell's name: `all`, or `class=acknowledge shire=kununurra`.
    pub fn name(&self, cell: usize) -> String {
        let level = self.level(cell);
        let mut rest = cell - level.first;
        let mut parts = Vec::new();
        for &d in level.by.iter().rev() {
            let dimension = &self.dimensions[d];
            parts.push(format!("{}={}", dimension.name, dimension.values[rest % dimension.values.len()]));
            rest /= dimension.values.len();
        }
        parts.reverse();
        if parts.is_empty() {
            "all".to_owned()
        } else {
            parts.join(" ")
        }
    }

    /// Finds a cell by its name.
    pub fn find(&self, name: &str) -> Option<usize> {
        (0..self.count).find(|&c| self.name(c) == name)
    }
}
