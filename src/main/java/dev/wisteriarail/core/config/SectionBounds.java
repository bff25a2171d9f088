package dev.wisteriarail.core.config;

import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Checks the values of one section that need no other section. Pure; thread-safe. */
final class SectionBounds {

  private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final long MAX_BYTES = 1L << 50;
  private static final int MAX_COUNT = 1_000_000;
  private static final double MIN_RATE = 0.001;
  private static final double MAX_RATE = 1e6;
  private static final long MAX_MILLIS = Duration.ofDays(7).toMillis();

  private final Section section;
  private final List<SectionProblem> problems = new ArrayList<>();

  private SectionBounds(Section section) {
    this.section = section;
  }

  /** Returns the problems of a section in the order of its answers. */
  static List<SectionProblem> check(Section section) {
    SectionBounds bounds = new SectionBounds(section);
    bounds.identifier("section", section.name());
    section.deployment().ifPresent(bounds::deployment);
    bounds.models();
    bounds.adapters();
    bounds.customers();
    bounds.kinds();
    bounds.services();
    bounds.runners();
    return bounds.problems;
  }

  private void deployment(DeploymentSpec deployment) {
    within("deployment.loads_per_second", deployment.loadsPerSecond(), MIN_RATE, MAX_RATE);
    within("deployment.concurrent_loads", deployment.concurrentLoads(), 1, MAX_COUNT);
    within("deployment.adapter_transits", deployment.adapterTransits(), 1, MAX_COUNT);
    within("deployment.cold_start_weight", deployment.coldStartWeight(), 0.0, 1.0);
  }

  private void models() {
    for (int i = 0; i < section.models().size(); i++) {
      ModelSpec model = section.models().get(i);
      String path = "model." + i;
      identifier(path + ".id", model.id().value());
      within(path + ".memory_mib", model.memoryBytes(), 1, MAX_BYTES);
      within(path + ".accelerators", model.accelerators(), 1, MAX_COUNT);
      within(path + ".max_replicas", model.maxReplicas(), 1, MAX_COUNT);
      loadTime(path + ".load_memory_ms", model.loadTimes().memory());
      loadTime(path + ".load_disk_ms", model.loadTimes().disk());
      loadTime(path + ".load_remote_ms", model.loadTimes().remote());
    }
  }

  private void adapters() {
    for (int i = 0; i < section.adapters().size(); i++) {
      AdapterSpec adapter = section.adapters().get(i);
      identifier("adapter." + i + ".id", adapter.id().value());
      within("adapter." + i + ".memory_mib", adapter.memoryBytes(), 1, MAX_BYTES);
    }
  }

  private void customers() {
    for (int i = 0; i < section.customers().size(); i++) {
      CustomerSpec customer = section.customers().get(i);
      String path = "customer." + i;
      identifier(path + ".id", customer.id().value());
      within(path + ".weight", customer.weight(), 1, MAX_COUNT);
      within(path + ".requests_per_second", customer.requestsPerSecond(), MIN_RATE, MAX_RATE);
      within(path + ".burst", customer.burst(), 1, MAX_COUNT);
      within(path + ".concurrency", customer.concurrency(), 1, MAX_COUNT);
      within(path + ".queue_limit", customer.queueLimit(), 1, MAX_COUNT);
      tokens(path + ".token_sha256", customer.tokenHashes());
    }
  }

  private void tokens(String path, List<String> hashes) {
    for (int i = 0; i < hashes.size(); i++) {
      if (!SHA256.matcher(hashes.get(i)).matches()) {
        add(
            ResultCode.ANSWER_VALUE_INVALID,
            path + "." + i,
            "is not a SHA-256 hash",
            "write 64 lower-case hexadecimal digits, never the token itself");
      }
    }
  }

  private void kinds() {
    for (int i = 0; i < section.kinds().size(); i++) {
      KindSpec kind = section.kinds().get(i);
      identifier("kind." + i + ".id", kind.id().value());
      within("kind." + i + ".deadline_ms", kind.deadline().toMillis(), 1, MAX_MILLIS);
    }
  }

  private void services() {
    for (int i = 0; i < section.services().size(); i++) {
      identifier("service." + i + ".id", section.services().get(i).id().value());
    }
  }

  private void runners() {
    for (int i = 0; i < section.runners().size(); i++) {
      RunnerSpec runner = section.runners().get(i);
      String path = "runner." + i;
      int least = runner.role() == RunnerRole.MODEL ? 1 : 0;
      identifier(path + ".id", runner.id().value());
      within(path + ".memory_mib", runner.memoryBytes(), least, MAX_BYTES);
      within(path + ".accelerators", runner.accelerators(), least, MAX_COUNT);
      within(path + ".slots", runner.slots(), 1, MAX_COUNT);
    }
  }

  // Helpers

  private void identifier(String path, String value) {
    if (!IDENTIFIER.matcher(value).matches()) {
      add(
          ResultCode.IDENTIFIER_INVALID,
          path,
          "\"" + value + "\" is not an identifier",
          "use 1 to 64 letters, digits, dots, dashes and underscores, a letter or digit first");
    }
  }

  private void loadTime(String path, Duration time) {
    within(path, time.toMillis(), 0, MAX_MILLIS);
  }

  private void within(String path, double value, double least, double most) {
    if (!(value >= least && value <= most)) {
      addBound(path, least, most);
    }
  }

  private void within(String path, long value, long least, long most) {
    if (value < least || value > most) {
      addBound(path, least, most);
    }
  }

  private void addBound(String path, Number least, Number most) {
    add(
        ResultCode.ANSWER_OUT_OF_BOUNDS,
        path,
        "is out of bounds",
        "write a number that comes to " + least + " to " + most);
  }

  private void add(ResultCode code, String path, String message, String remedy) {
    problems.add(new SectionProblem(code, section.name(), path, message, remedy));
  }
}
