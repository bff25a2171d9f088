package dev.wisteriarail.answers;

import dev.wisteriarail.core.cell.Reservation;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Lists the differences between two configurations and their effects on the running nodes.
 *
 * <p>{@link #lines} is thread-safe; an instance serves one call.
 */
public final class ConfigurationDiff {

  private static final long MEBIBYTE = 1L << 20;

  private final Configuration before;
  private final Configuration after;
  private final Collection<Reservation> replicas;
  private final List<String> lines = new ArrayList<>();

  private ConfigurationDiff(
      Configuration before, Configuration after, Collection<Reservation> replicas) {
    this.before = before;
    this.after = after;
    this.replicas = replicas;
  }

  /**
   * Returns a line for each difference and for each of its effects.
   *
   * @param replicas the current reservations, one for each replica
   */
  public static List<String> lines(
      Configuration before, Configuration after, Collection<Reservation> replicas) {
    ConfigurationDiff diff = new ConfigurationDiff(before, after, replicas);
    diff.compareAll();
    return List.copyOf(diff.lines);
  }

  private void compareAll() {
    if (!before.deployment().equals(after.deployment())) {
      lines.add("~ deployment: " + changes(before.deployment(), after.deployment()));
    }
    compare("runner", Configuration::runners, this::runnerEffect);
    compare("service", Configuration::services, id -> {});
    compare("customer", Configuration::customers, this::customerEffect);
    compare("kind", Configuration::kinds, id -> {});
    compare("model", Configuration::models, this::modelEffect);
    compare("adapter", Configuration::adapters, id -> {});
  }

  private <K, V extends Record> void compare(
      String what, Function<Configuration, Map<K, V>> table, EffectReporter<K> effectReporter) {
    Map<K, V> old = table.apply(before);
    Map<K, V> next = table.apply(after);
    Set<K> keys = new TreeSet<>(old.keySet());
    keys.addAll(next.keySet());
    for (K key : keys) {
      V oldSpec = old.get(key);
      V newSpec = next.get(key);
      if (newSpec != null && newSpec.equals(oldSpec)) {
        continue;
      }
      if (oldSpec == null) {
        lines.add("+ " + what + " " + key);
      } else if (newSpec == null) {
        lines.add("- " + what + " " + key);
      } else {
        lines.add("~ " + what + " " + key + ": " + changes(oldSpec, newSpec));
      }
      effectReporter.add(key);
    }
  }

  // Effects

  /** Adds the lines on the effects of a difference. */
  private interface EffectReporter<K> {
    void add(K key);
  }

  private void modelEffect(ModelId id) {
    ModelSpec oldSpec = before.models().get(id);
    ModelSpec newSpec = after.models().get(id);
    List<Reservation> modelReplicas = replicasOf(id);
    if (oldSpec == null) {
      effect(
          "loads at the first request that waits for it, on "
              + newSpec.accelerators()
              + " "
              + "accelerators and "
              + newSpec.memoryBytes() / MEBIBYTE
              + " MiB");
    } else if (newSpec == null) {
      modelReplicas.forEach(replica -> effect("unloads " + describe(replica) + " once it is idle"));
      effect("requests that wait for it are refused as not run (WR-1102)");
    } else {
      changedModel(oldSpec, newSpec, modelReplicas);
    }
  }

  private void changedModel(ModelSpec oldSpec, ModelSpec newSpec, List<Reservation> modelReplicas) {
    if (!oldSpec.version().equals(newSpec.version())) {
      modelReplicas.forEach(replica -> effect("unloads " + describe(replica) + " once it is idle"));
      effect(
          "waiting requests stay queued and are served by "
              + newSpec.version()
              + "; those in flight finish on "
              + oldSpec.version());
    }
    if (oldSpec.memoryBytes() != newSpec.memoryBytes()) {
      effect(
          "new replicas reserve "
              + newSpec.memoryBytes() / MEBIBYTE
              + " MiB; the "
              + modelReplicas.size()
              + " decided ones keep what they reserved");
    }
    if (newSpec.maxReplicas() < modelReplicas.size()) {
      effect(
          "no load is decided until "
              + (modelReplicas.size() - newSpec.maxReplicas() + 1)
              + " of "
              + modelReplicas.size()
              + " replicas are unloaded");
    }
    if (!oldSpec.customer().equals(newSpec.customer())) {
      effect(
          "customer "
              + oldSpec.customer()
              + " can no longer call it, "
              + newSpec.customer()
              + " can");
    }
  }

  private void runnerEffect(RunnerId id) {
    if (!after.runners().containsKey(id)) {
      replicas.stream()
          .filter(replica -> replica.runner().equals(id))
          .forEach(replica -> effect(describe(replica) + " gets no new request"));
    } else if (!before.runners().containsKey(id)) {
      effect("receives replicas or calls after its first report");
    }
  }

  private void customerEffect(Object id) {
    effect("limits of customer " + id + " change for requests that arrive from then on");
  }

  private void effect(String text) {
    lines.add("    " + text);
  }

  // Helpers

  private List<Reservation> replicasOf(ModelId id) {
    return replicas.stream().filter(replica -> replica.model().equals(id)).toList();
  }

  private static String describe(Reservation replica) {
    return "replica "
        + replica.replica()
        + " ("
        + replica.version()
        + ", "
        + replica.bytes() / MEBIBYTE
        + " MiB on "
        + replica.runner()
        + ")";
  }

  private static String changes(Record oldSpec, Record newSpec) {
    List<String> changed = new ArrayList<>();
    for (RecordComponent component : oldSpec.getClass().getRecordComponents()) {
      Object old = value(component, oldSpec);
      Object next = value(component, newSpec);
      if (!old.equals(next)) {
        changed.add(component.getName() + " " + old + " -> " + next);
      }
    }
    return String.join(", ", changed);
  }

  private static Object value(RecordComponent component, Record record) {
    try {
      return component.getAccessor().invoke(record);
    } catch (ReflectiveOperationException inaccessible) {
      throw new IllegalStateException(inaccessible);
    }
  }
}
