package dev.wisteriarail.report;

import java.util.List;
import java.util.Locale;

/** Formats the results of a comparison as a Markdown table. Stateless. */
public final class MarkdownTable {

  private static final String HEADER =
      "| policy | idle h | cold | cold p50 | cold p95 | cold p99 | cold max | wait p99 |"
          + " first token p95 | first token p99 | loads | refused |\n"
          + "|---|---|---|---|---|---|---|---|---|---|---|---|\n";

  private MarkdownTable() {}

  /** Returns the table; times are in milliseconds. */
  public static String of(List<MeanRow> rows) {
    StringBuilder text = new StringBuilder(HEADER);
    for (MeanRow row : rows) {
      text.append(
          String.format(
              Locale.ROOT,
              "| %s | %.1f | %.0f | %d | %d | %d | %d | %.0f | %.0f | %.0f | %.0f | %.1f |%n",
              row.label(),
              row.idleHours(),
              row.coldStarts(),
              row.coldStartMs().p50(),
              row.coldStartMs().p95(),
              row.coldStartMs().p99(),
              row.coldStartMs().max(),
              row.modelWaitP99Ms(),
              row.firstTokenP95Ms(),
              row.firstTokenP99Ms(),
              row.loads(),
              row.refused()));
    }
    return text.toString();
  }
}
