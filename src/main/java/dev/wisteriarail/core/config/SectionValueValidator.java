package dev.wisteriarail.core.config;

import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Validates the values of a section that can be checked without the other sections. The result
 * depends only on the section. Thread-safe.
 */
final class SectionValueValidator {

  private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final long MAX_BYTES = 1L << 50;
  private static final int MAX_COUNT = 1_000_000;
  private static final double MIN_RATE = 0.001;
  private static final double MAX_RATE = 1e6;
  private static final long MAX_MILLIS = Duration.ofDays(7).toMillis();

  private final Section section;
  private final List<SectionProblem> problems = new ArrayList<>();

  private SectionValueValidator(Section section) {
    this.section = section;
  }

  /** Returns the problems of a section, in the order of its entries. */
  static List<SectionProblem> check(Section section) {
    SectionValueValidator validator = new SectionValueValidator(section);
    validator.checkIdentifier("section", section.name());
    section.deployment().ifPresent(validator::checkDeployment);
    validator.checkModels();
    validator.checkAdapters();
    validator.checkCustomers();
    validator.checkKinds();
    validator.checkServices();
    validator.checkRunners();
    return validator.problems;
  }

  private void checkDeployment(DeploymentSpec deployment) {
    checkRange("deployment.loads_per_second", deployment.loadsPerSecond(), MIN_RATE, MAX_RATE);
    checkRange("deployment.concurrent_loads", deployment.concurrentLoads(), 1, MAX_COUNT);
    checkRange("deployment.adapter_transits", deployment.adapterTransits(), 1, MAX_COUNT);
    checkRange("deployment.cold_start_weight", deployment.coldStartWeight(), 0.0, 1.0);
  }

  private void checkModels() {
    for (int i = 0; i < section.models().size(); i++) {
      ModelSpec model = section.models().get(i);
      String path = "model." + i;
      checkIdentifier(path + ".id", model.id().value());
      checkRange(path + ".memory_mib", model.memoryBytes(), 1, MAX_BYTES);
      checkRange(path + ".accelerators", model.accelerators(), 1, MAX_COUNT);
      checkRange(path + ".max_replicas", model.maxReplicas(), 1, MAX_COUNT);
      checkLoadTime(path + ".load_memory_ms", model.loadTimes().memory());
      checkLoadTime(path + ".load_disk_ms", model.loadTimes().disk());
      checkLoadTime(path + ".load_remote_ms", model.loadTimes().remote());
    }
  }

  private void checkAdapters() {
    for (int i = 0; i < section.adapters().size(); i++) {
      AdapterSpec adapter = section.adapters().get(i);
      checkIdentifier("adapter." + i + ".id", adapter.id().value());
      checkRange("adapter." + i + ".memory_mib", adapter.memoryBytes(), 1, MAX_BYTES);
    }
  }

  private void checkCustomers() {
    for (int i = 0; i < section.customers().size(); i++) {
      CustomerSpec customer = section.customers().get(i);
      String path = "customer." + i;
      checkIdentifier(path + ".id", customer.id().value());
      checkRange(path + ".weight", customer.weight(), 1, MAX_COUNT);
      checkRange(path + ".requests_per_second", customer.requestsPerSecond(), MIN_RATE, MAX_RATE);
      checkRange(path + ".burst", customer.burst(), 1, MAX_COUNT);
      checkRange(path + ".concurrency", customer.concurrency(), 1, MAX_COUNT);
      checkRange(path + ".queue_limit", customer.queueLimit(), 1, MAX_COUNT);
      checkTokenHashes(path + ".token_sha256", customer.tokenHashes());
    }
  }

  private void checkTokenHashes(String path, List<String> hashes) {
    for (int i = 0; i < hashes.size(); i++) {
      if (!SHA256.matcher(hashes.get(i)).matches()) {
        add(
            ResultCode.ANSWER_VALUE_INVALID,
            path + "." + i,
            "is not a SHA-256 hash",
            "use 64 lower-case hexadecimal digits, never the token itself");
      }
    }
  }

  private void checkKinds() {
    for (int i = 0; i < section.kinds().size(); i++) {
      KindSpec kind = section.kinds().get(i);
      checkIdentifier("kind." + i + ".id", kind.id().value());
      checkRange("kind." + i + ".deadline_ms", kind.deadline().toMillis(), 1, MAX_MILLIS);
    }
  }

  private void checkServices() {
    for (int i = 0; i < section.services().size(); i++) {
      checkIdentifier("service." + i + ".id", section.services().get(i).id().value());
    }
  }

  private void checkRunners() {
    for (int i = 0; i < section.runners().size(); i++) {
      RunnerSpec runner = section.runners().get(i);
      String path = "runner." + i;
      int min = runner.role() == RunnerRole.MODEL ? 1 : 0;
      checkIdentifier(path + ".id", runner.id().value());
      checkRange(path + ".memory_mib", runner.memoryBytes(), min, MAX_BYTES);
      checkRange(path + ".accelerators", runner.accelerators(), min, MAX_COUNT);
      checkRange(path + ".slots", runner.slots(), 1, MAX_COUNT);
    }
  }

  // Helpers

  private void checkIdentifier(String path, String value) {
    if (!IDENTIFIER.matcher(value).matches()) {
      add(
          ResultCode.IDENTIFIER_INVALID,
          path,
          "\"" + value + "\" is not a valid identifier",
          "use 1 to 64 letters, digits, dots, dashes or underscores; start with a letter or digit");
    }
  }

  private void checkLoadTime(String path, Duration time) {
    checkRange(path, time.toMillis(), 0, MAX_MILLIS);
  }

  private void checkRange(String path, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      addOutOfBounds(path, min, max);
    }
  }

  private void checkRange(String path, long value, long min, long max) {
    if (value < min || value > max) {
      addOutOfBounds(path, min, max);
    }
  }

  private void addOutOfBounds(String path, Number min, Number max) {
    add(
        ResultCode.ANSWER_OUT_OF_BOUNDS,
        path,
        "is out of range",
        "use a number that amounts to " + min + " to " + max);
  }

  private void add(ResultCode code, String path, String message, String remedy) {
    problems.add(new SectionProblem(code, section.name(), path, message, remedy));
  }
}
