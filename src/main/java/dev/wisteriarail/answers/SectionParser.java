package dev.wisteriarail.answers;

import dev.wisteriarail.core.config.AdapterSpec;
import dev.wisteriarail.core.config.CheckpointLocation;
import dev.wisteriarail.core.config.CheckpointTier;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.DeploymentSpec;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.ServiceSpec;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.id.ServiceId;
import dev.wisteriarail.settings.TomlDocument;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

/**
 * Parses a section from TOML. This class checks types and the presence of keys; {@link
 * dev.wisteriarail.core.config.SectionValidator} checks the ranges of values.
 *
 * <p>Life cycle: one instance per section. Not thread-safe.
 */
final class SectionParser {

  private static final long MEBIBYTE = 1L << 20;
  private static final long MAX_MEBIBYTES = 1L << 30;
  private static final int MAX_COUNT = 1_000_000;
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);
  private static final int DEFAULT_SLOTS = 16;
  private static final double DEFAULT_RATE = 20;
  private static final int DEFAULT_BURST = 40;
  private static final int DEFAULT_CONCURRENCY = 64;
  private static final int DEFAULT_QUEUE = 256;

  private final TomlDocument toml;

  private SectionParser(TomlDocument toml) {
    this.toml = toml;
  }

  /** Parses a section and records problems in the document. */
  static Section parse(TomlDocument toml, String defaultName) {
    SectionParser parser = new SectionParser(toml);
    return new Section(
        toml.text("section", defaultName),
        parser.deployment(),
        parser.list("model", parser::model),
        parser.list("adapter", parser::adapter),
        parser.list("customer", parser::customer),
        parser.list("kind", parser::kind),
        parser.list("service", parser::service),
        parser.list("runner", parser::runner));
  }

  // Tables

  private Optional<DeploymentSpec> deployment() {
    if (!toml.contains("deployment")) {
      return Optional.empty();
    }
    DeploymentSpec defaults = DeploymentSpec.UNNAMED;
    return Optional.of(
        new DeploymentSpec(
            toml.text("deployment.name"),
            number("deployment.loads_per_second", defaults.loadsPerSecond()),
            count("deployment.concurrent_loads", defaults.concurrentLoads()),
            count("deployment.adapter_transits", defaults.adapterTransits()),
            number("deployment.cold_start_weight", defaults.coldStartWeight())));
  }

  private ModelSpec model(String path) {
    List<CheckpointLocation> checkpoints = new ArrayList<>();
    checkpoints.addAll(checkpoints(path, CheckpointTier.MEMORY));
    checkpoints.addAll(checkpoints(path, CheckpointTier.DISK));
    return new ModelSpec(
        ModelId.of(toml.text(path + ".id")),
        CustomerId.of(toml.text(path + ".customer")),
        toml.text(path + ".version", "v1"),
        bytes(path + ".memory_mib"),
        count(path + ".accelerators", 1),
        count(path + ".max_replicas", 1),
        new LoadTimes(
            requiredDuration(path + ".load_memory_ms"),
            requiredDuration(path + ".load_disk_ms"),
            requiredDuration(path + ".load_remote_ms")),
        checkpoints);
  }

  private List<CheckpointLocation> checkpoints(String path, CheckpointTier tier) {
    return toml.texts(path + ".checkpoints_" + keyOf(tier)).stream()
        .map(runner -> new CheckpointLocation(RunnerId.of(runner), tier))
        .toList();
  }

  private AdapterSpec adapter(String path) {
    return new AdapterSpec(
        AdapterId.of(toml.text(path + ".id")),
        CustomerId.of(toml.text(path + ".customer")),
        ModelId.of(toml.text(path + ".model")),
        bytes(path + ".memory_mib"));
  }

  private CustomerSpec customer(String path) {
    return new CustomerSpec(
        CustomerId.of(toml.text(path + ".id")),
        toml.texts(path + ".token_sha256"),
        count(path + ".weight", 1),
        number(path + ".requests_per_second", DEFAULT_RATE),
        count(path + ".burst", DEFAULT_BURST),
        count(path + ".concurrency", DEFAULT_CONCURRENCY),
        count(path + ".queue_limit", DEFAULT_QUEUE));
  }

  private KindSpec kind(String path) {
    return new KindSpec(
        KindId.of(toml.text(path + ".id")),
        choice(path + ".urgency", Urgency.class, Urgency.NORMAL),
        toml.millis(path + ".deadline_ms", DEFAULT_DEADLINE),
        toml.flag(path + ".repeatable", false),
        toml.texts(path + ".models").stream().map(ModelId::of).toList(),
        toml.texts(path + ".services").stream().map(ServiceId::of).toList());
  }

  private ServiceSpec service(String path) {
    return new ServiceSpec(
        ServiceId.of(toml.text(path + ".id")),
        toml.texts(path + ".runners").stream().map(RunnerId::of).toList(),
        toml.flag(path + ".deduplicates", false));
  }

  private RunnerSpec runner(String path) {
    RunnerRole role = choice(path + ".role", RunnerRole.class, RunnerRole.MODEL);
    boolean servesModels = role == RunnerRole.MODEL;
    return new RunnerSpec(
        RunnerId.of(toml.text(path + ".id")),
        toml.text(path + ".address"),
        FailureDomain.of(toml.text(path + ".failure_domain")),
        role,
        servesModels ? bytes(path + ".memory_mib") : 0,
        servesModels ? count(path + ".accelerators", 1) : 0,
        count(path + ".slots", DEFAULT_SLOTS),
        toml.flag(path + ".checks_fencing", false));
  }

  // Values

  private <T> List<T> list(String path, Function<String, T> read) {
    List<T> entries = new ArrayList<>();
    for (int i = 0; i < toml.size(path); i++) {
      entries.add(read.apply(path + "." + i));
    }
    return entries;
  }

  private long bytes(String path) {
    requirePresence(path, "memory in MiB");
    return toml.integer(path, 1, MAX_MEBIBYTES, 1) * MEBIBYTE;
  }

  private Duration requiredDuration(String path) {
    requirePresence(path, "a time in milliseconds");
    return Duration.ofMillis(toml.integer(path, 0, Duration.ofDays(7).toMillis(), 0));
  }

  private void requirePresence(String path, String what) {
    if (!toml.contains(path)) {
      String key = path.substring(path.lastIndexOf('.') + 1);
      toml.addProblem(path, what + " is required", "write " + key + " = ...");
    }
  }

  private int count(String path, int defaultValue) {
    return (int) toml.integer(path, 0, MAX_COUNT, defaultValue);
  }

  private double number(String path, double defaultValue) {
    return toml.number(path, 0, MAX_COUNT, defaultValue);
  }

  private <E extends Enum<E>> E choice(String path, Class<E> type, E defaultValue) {
    String text = toml.text(path, keyOf(defaultValue));
    for (E constant : type.getEnumConstants()) {
      if (keyOf(constant).equals(text)) {
        return constant;
      }
    }
    toml.addProblem(path, "\"" + text + "\" is not a choice", "write one of " + choices(type));
    return defaultValue;
  }

  private static <E extends Enum<E>> String choices(Class<E> type) {
    List<String> names = new ArrayList<>();
    for (E constant : type.getEnumConstants()) {
      names.add(keyOf(constant));
    }
    return String.join(", ", names);
  }

  /** Returns the name of a constant in answers. */
  static String keyOf(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
