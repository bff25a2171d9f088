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
 * What changes between two configurations, and what nodes will do about it.
 *
 * <p>Stateless; thread-safe.
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
   * Returns one line for each difference and each effect.
   *
   * @param replicas the replicas that are decided now
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
      V was = old.get(key);
      V is = next.get(key);
      if (is != null && is.equals(was)) {
        continue;
      }
      if (was == null) {
        lines.add("+ " + what + " " + key);
      } else if (is == null) {
        lines.add("- " + what + " " + key);
      } else {
        lines.add("~ " + what + " " + key + ": " + changes(was, is));
      }
      effectReporter.add(key);
    }
  }

  // Effects

  /** Adds the lines on what nodes do about one difference. */
  private interface EffectReporter<K> {
    void add(K key);
  }

  private void modelEffect(ModelId id) {
    ModelSpec was = before.models().get(id);
    ModelSpec is = after.models().get(id);
    List<Reservation> held = replicasOf(id);
    if (was == null) {
      effect(
          "loads at the first request that waits for it, on "
              + is.accelerators()
              + " "
              + "accelerators and "
              + is.memoryBytes() / MEBIBYTE
              + " MiB");
    } else if (is == null) {
      held.forEach(replica -> effect("unloads " + describe(replica) + " once it is idle"));
      effect("requests that wait for it are refused as not run (WR-1102)");
    } else {
      changedModel(was, is, held);
    }
  }

  private void changedModel(ModelSpec was, ModelSpec is, List<Reservation> held) {
    if (!was.version().equals(is.version())) {
      held.forEach(replica -> effect("unloads " + describe(replica) + " once it is idle"));
      effect(
          "waiting requests stay queued and are served by "
              + is.version()
              + "; those in flight finish on "
              + was.version());
    }
    if (was.memoryBytes() != is.memoryBytes()) {
      effect(
          "new replicas reserve "
              + is.memoryBytes() / MEBIBYTE
              + " MiB; the "
              + held.size()
              + " decided ones keep what they reserved");
    }
    if (is.maxReplicas() < held.size()) {
      effect(
          "no load is decided until "
              + (held.size() - is.maxReplicas() + 1)
              + " of "
              + held.size()
              + " replicas are unloaded");
    }
    if (!was.customer().equals(is.customer())) {
      effect("customer " + was.customer() + " can no longer call it, " + is.customer() + " can");
    }
  }

  private void runnerEffect(RunnerId id) {
    if (!after.runners().containsKey(id)) {
      replicas.stream()
          .filter(replica -> replica.runner().equals(id))
          .forEach(replica -> effect(describe(replica) + " gets no new request"));
    } else if (!before.runners().containsKey(id)) {
      effect("takes replicas or calls as soon as it reports");
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

  private static String changes(Record was, Record is) {
    List<String> changed = new ArrayList<>();
    for (RecordComponent component : was.getClass().getRecordComponents()) {
      Object old = value(component, was);
      Object next = value(component, is);
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
