package dev.wisteriarail.replay;

import dev.wisteriarail.core.result.SettingsException;
import java.nio.file.Path;
import java.util.List;

/**
 * A generated trace and the faults to inject during its replay.
 *
 * @param lines requests in order of arrival
 * @param faults faults in order of time
 */
public record GeneratedTrace(List<TraceLine> lines, List<FaultLine> faults) {

  /** Copies the lists. */
  public GeneratedTrace {
    lines = List.copyOf(lines);
    faults = List.copyOf(faults);
  }

  /**
   * Writes the trace, and its faults if there are any.
   *
   * @throws SettingsException if a file cannot be written
   */
  public void write(Path traceFile, Path faultsFile) throws SettingsException {
    JsonLines.write(traceFile, lines);
    if (!faults.isEmpty()) {
      JsonLines.write(faultsFile, faults);
    }
  }
}
