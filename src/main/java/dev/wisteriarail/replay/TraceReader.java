package dev.wisteriarail.replay;

import dev.wisteriarail.core.config.AdapterSpec;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reads trace files and fault files, and validates them against a deployment. */
public final class TraceReader {

  private static final Set<String> FAULTS =
      Set.of(FaultLine.LOG_OUTAGE, FaultLine.SLOW_WEIGHT_STORE, FaultLine.RUNNER_LOST);

  private TraceReader() {}

  /**
   * Reads a trace.
   *
   * @throws SettingsException with the file and line of the first malformed line, unknown name or
   *     line out of order
   */
  public static List<TraceLine> readTrace(Path file, Configuration configuration)
      throws SettingsException {
    List<TraceLine> lines = JsonLines.read(file, TraceLine.class, ResultCode.TRACE_LINE_INVALID);
    long previous = 0;
    for (int i = 0; i < lines.size(); i++) {
      checkFields(lines.get(i), previous, JsonLines.location(file, i));
      checkNames(lines.get(i), configuration, JsonLines.location(file, i));
      previous = lines.get(i).atMs();
    }
    return lines;
  }

  /**
   * Reads a fault file.
   *
   * @throws SettingsException with the file and line of the first malformed line or unknown name
   */
  public static List<FaultLine> readFaults(Path file, Configuration configuration)
      throws SettingsException {
    List<FaultLine> lines = JsonLines.read(file, FaultLine.class, ResultCode.FAULT_LINE_INVALID);
    for (int i = 0; i < lines.size(); i++) {
      checkFault(lines.get(i), configuration, JsonLines.location(file, i));
    }
    return lines;
  }

  // Checks

  private static void checkFields(TraceLine line, long previous, String location)
      throws SettingsException {
    boolean complete = line.customer() != null && line.model() != null && line.kind() != null;
    boolean positive = line.atMs() >= 0 && line.tokensIn() >= 0 && line.tokensOut() > 0;
    if (!complete || !positive) {
      throw new SettingsException(
          ResultCode.TRACE_LINE_INVALID,
          location,
          "needs customer, model and kind, at_ms and tokens_in from 0, tokens_out from 1");
    }
    if (line.atMs() < previous) {
      throw new SettingsException(
          ResultCode.TRACE_OUT_OF_ORDER,
          location,
          "at_ms " + line.atMs() + " is before " + previous + " of the line before");
    }
  }

  private static void checkNames(TraceLine line, Configuration configuration, String location)
      throws SettingsException {
    check(configuration.kinds().containsKey(KindId.of(line.kind())), location, "kind", line.kind());
    CustomerId customer = CustomerId.of(line.customer());
    check(configuration.customers().containsKey(customer), location, "customer", line.customer());
    ModelSpec model = configuration.models().get(ModelId.of(line.model()));
    check(model != null, location, "model", line.model());
    check(model.customer().equals(customer), location, "model of this customer", line.model());
    if (line.adapter() != null) {
      Optional<AdapterSpec> adapter =
          Optional.ofNullable(configuration.adapters().get(AdapterId.of(line.adapter())));
      boolean fits = adapter.filter(one -> one.model().equals(model.id())).isPresent();
      check(fits, location, "adapter of this model", line.adapter());
    }
  }

  private static void checkFault(FaultLine line, Configuration configuration, String location)
      throws SettingsException {
    boolean slow = FaultLine.SLOW_WEIGHT_STORE.equals(line.fault());
    if (line.fault() == null || line.atMs() < 0 || line.forMs() <= 0) {
      throw new SettingsException(
          ResultCode.FAULT_LINE_INVALID, location, "needs fault, at_ms from 0 and for_ms from 1");
    }
    if (!FAULTS.contains(line.fault()) || (slow && line.factor() < 1)) {
      throw new SettingsException(
          ResultCode.FAULT_LINE_INVALID,
          location,
          "fault " + line.fault() + " is none of " + FAULTS + ", or its factor is below 1");
    }
    boolean lost = FaultLine.RUNNER_LOST.equals(line.fault());
    if (lost) {
      boolean exists =
          line.runner() != null && configuration.runners().containsKey(RunnerId.of(line.runner()));
      check(exists, location, "runner", line.runner());
    }
  }

  private static void check(boolean exists, String location, String type, String name)
      throws SettingsException {
    if (!exists) {
      throw new SettingsException(
          ResultCode.TRACE_NAME_UNKNOWN,
          location,
          "the deployment has no " + type + " named " + name);
    }
  }
}
