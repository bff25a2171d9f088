package dev.wisteriarail.report;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.replay.TimelineSample;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CombinedDomainXYPlot;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws trade-off curves and replay timelines as PNG files; works without a display. Stateless. */
public final class Plots {

  private static final int WIDTH = 1_000;
  private static final int HEIGHT = 700;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double MILLIS_PER_HOUR = 3_600_000;
  private static final double BYTES_PER_GIBIBYTE = 1L << 30;

  private Plots() {}

  /**
   * Draws tail latencies against idle accelerator hours, with one curve per policy.
   *
   * @throws SettingsException if the file cannot be written
   */
  public static void writeTradeOff(String title, List<MeanRow> rows, Path file)
      throws SettingsException {
    CombinedDomainXYPlot plot = new CombinedDomainXYPlot(new NumberAxis("idle accelerator hours"));
    plot.add(tradeOffPlot("p99 wait of all requests, s", rows, MeanRow::modelWaitP99Ms));
    plot.add(tradeOffPlot("p99 of cold starts, s", rows, row -> row.coldStartMs().p99()));
    write(new JFreeChart(title, plot), file);
  }

  /**
   * Draws ready replicas, loading replicas, waiting requests and held memory over time.
   *
   * @throws SettingsException if the file cannot be written
   */
  public static void writeTimeline(String title, List<TimelineSample> samples, Path file)
      throws SettingsException {
    CombinedDomainXYPlot plot = new CombinedDomainXYPlot(new NumberAxis("hour"));
    plot.add(timeSeriesPlot("ready replicas", samples, TimelineSample::ready));
    plot.add(timeSeriesPlot("loading replicas", samples, TimelineSample::loading));
    plot.add(timeSeriesPlot("waiting requests", samples, TimelineSample::waiting));
    plot.add(
        timeSeriesPlot(
            "memory held, GiB", samples, sample -> sample.heldBytes() / BYTES_PER_GIBIBYTE));
    JFreeChart chart = new JFreeChart(title, plot);
    chart.removeLegend();
    write(chart, file);
  }

  // Helpers

  private static XYPlot tradeOffPlot(
      String axis, List<MeanRow> rows, ToDoubleFunction<MeanRow> millis) {
    Map<String, XYSeries> byFamily = new LinkedHashMap<>();
    for (MeanRow row : rows) {
      byFamily
          .computeIfAbsent(row.family(), XYSeries::new)
          .add(row.idleHours(), millis.applyAsDouble(row) / MILLIS_PER_SECOND);
    }
    XYSeriesCollection series = new XYSeriesCollection();
    byFamily.values().forEach(series::addSeries);
    return new XYPlot(series, null, new NumberAxis(axis), new XYLineAndShapeRenderer(true, true));
  }

  private static XYPlot timeSeriesPlot(
      String axis, List<TimelineSample> samples, ToDoubleFunction<TimelineSample> value) {
    XYSeries line = new XYSeries(axis);
    for (TimelineSample sample : samples) {
      line.add(sample.atMs() / MILLIS_PER_HOUR, value.applyAsDouble(sample));
    }
    return new XYPlot(
        new XYSeriesCollection(line),
        null,
        new NumberAxis(axis),
        new XYLineAndShapeRenderer(true, false));
  }

  private static void write(JFreeChart chart, Path file) throws SettingsException {
    System.setProperty("java.awt.headless", "true");
    try {
      ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.REPORT_UNWRITABLE, file.toString(), "cannot be written", failure);
    }
  }
}
