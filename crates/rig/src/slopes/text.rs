//! Figures in people's words.

/// A figure with three digits that count, and thousands apart.
pub fn figure(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    if !value.is_finite() {
        return value.to_string();
    }
    let places = (2 - value.abs().log10().floor() as i32).max(0) as usize;
    if places > 0 {
        let text = format!("{value:.places$}");
        // Rounding may have given it one digit more.
        return text.trim_end_matches('0').trim_end_matches('.').to_owned();
    }
    let unit = 10f64.powi(value.abs().log10().floor() as i32 - 2);
    grouped((value / unit).round() * unit)
}

/// A whole number, thousands apart.
pub fn grouped(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (k, digit) in digits.chars().enumerate() {
        if k > 0 && (digits.len() - k) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 {
        text.insert(0, '-');
    }
    text
}

/// A figure with its unit: bytes and nanoseconds by their size.
pub fn with_unit(value: f64, unit: &str) -> String {
    let scaled = |steps: &[(f64, &str)]| {
        let step = steps.iter().find(|(least, _)| value.abs() >= *least);
        step.map(|(least, name)| format!("{} {name}", figure(value / least)))
    };
    let (base, rest) = unit.split_once(' ').map_or((unit, String::new()), |(b, r)| (b, format!(" {r}")));
    let text = match base {
        "bytes" => scaled(&[(1e9, "GB"), (1e6, "MB"), (1e3, "KB")]),
        "ns" => scaled(&[(1e9, "s"), (1e6, "ms"), (1e3, "us")]),
        "instructions" => scaled(&[(1e9, "billion instructions"), (1e6, "million instructions")]),
        _ => None,
    };
    text.map_or_else(|| format!("{} {unit}", figure(value)), |t| t + &rest)
}

/// The day of a time in seconds since 1970, as year-month-day.
pub fn day(seconds: u64) -> String {
    // Days since the first of March of the year 0, by eras of 400 years.
    let days = (seconds / 86_400) as i64 + 719_468;
    let (era, of_era) = (days / 146_097, days % 146_097);
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    format!("{:04}-{month:02}-{day:02}", year + era * 400 + i64::from(month <= 2))
}
