//! Slopes and marked tables.

use kingcupford_capacity::{non_negative_least_squares, replace_section};

/// Guards against slopes that do not reproduce an exact linear relation of unlike units.
#[test]
fn least_squares_exact() {
    let rows: Vec<Vec<f64>> =
        (0..10).map(|it| vec![1.0, f64::from(it), f64::from(it * it) * 1e4, 0.0]).collect();
    let values: Vec<f64> = rows.iter().map(|it| 2.0 + 3.0 * it[1] + 0.5 * it[2]).collect();
    let slopes = non_negative_least_squares(&rows, &values);
    for (slope, expected) in slopes.iter().zip([2.0, 3.0, 0.5, 0.0]) {
        assert!((slope - expected).abs() < 1e-6, "{slopes:?}");
    }
}

/// Guards against a size that seems to save cost, which would hide another one's at the target.
#[test]
fn least_squares_not_negative() {
    let rows: Vec<Vec<f64>> = (0..10).map(|it| vec![1.0, f64::from(it)]).collect();
    let values: Vec<f64> = (0..10).map(|it| 20.0 - f64::from(it)).collect();
    let slopes = non_negative_least_squares(&rows, &values);
    assert_eq!(slopes[1], 0.0, "{slopes:?}");
    assert!((slopes[0] - 15.5).abs() < 1e-6, "{slopes:?}");
}

/// Guards against a table that damages the text around it or the markers of the next run.
#[test]
fn replace_section_repeated() {
    let text = "a\n<!-- measured:begin x -->\nold\n<!-- measured:end x -->\nb\n";
    let once = replace_section(text, "x", "new\n").expect("has markers");
    assert_eq!(once, "a\n<!-- measured:begin x -->\n\nnew\n\n<!-- measured:end x -->\nb\n");
    assert_eq!(replace_section(&once, "x", "new\n").expect("has markers"), once);
    assert!(replace_section(text, "y", "new").is_err(), "a missing marker is reported");
}
