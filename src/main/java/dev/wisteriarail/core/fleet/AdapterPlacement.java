package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.route.HostedModel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Decides which adapters are loaded where, for one plan.
 *
 * <p>The load that it answers: the model that most ask for has more adapters than its engines have
 * places, and the same engines trade other models all the time. An adapter takes milliseconds and a
 * model seconds, so adapters come first; behind the models of an engine that is never idle they
 * waited for seconds. Each adapter has one home, since a second copy takes the place of another
 * adapter; it gets a second home only while the first is full of requests.
 *
 * <p>Stateless between plans. Not thread-safe.
 */
final class AdapterPlacement {

  private final PlanInput input;
  private final Map<String, HostedModel> hosted;
  private final RoomRules rules;
  private final Predicate<PlanInput.Engine> mayOrder;
  private final Set<String> wanted;

  private AdapterPlacement(PlanInput input, RoomRules rules, Predicate<PlanInput.Engine> mayOrder) {
    this.input = input;
    this.rules = rules;
    this.mayOrder = mayOrder;
    hosted = rules.hosted();
    wanted =
        input.adapterWants().stream()
            .map(want -> want.model() + "/" + want.adapter())
            .collect(Collectors.toSet());
  }

  /**
   * Returns the orders for adapters that requests wait for, at most one an engine.
   *
   * @param rules what takes how much room
   * @param mayOrder tells engines that may get such an order now
   */
  static List<Plan.Placed> orders(
      PlanInput input, RoomRules rules, Predicate<PlanInput.Engine> mayOrder) {
    return new AdapterPlacement(input, rules, mayOrder).orders();
  }

  private List<Plan.Placed> orders() {
    List<Plan.Placed> orders = new ArrayList<>();
    Set<String> taken = new HashSet<>();
    for (PlanInput.AdapterWant want : input.adapterWants()) {
      if (!hosted.containsKey(want.model()) || hasHome(want)) {
        continue;
      }
      input.engines().stream()
          .filter(engine -> engine.free() && !taken.contains(engine.runner()))
          .filter(mayOrder)
          .filter(engine -> engine.models().containsKey(want.model()))
          .filter(engine -> !holds(engine, want))
          .filter(engine -> !isFull(engine, want) || dispensable(engine).isPresent())
          .min(
              Comparator.comparingInt(AdapterPlacement::adapterCount)
                  .thenComparingInt(PlanInput.Engine::totalRunning))
          .ifPresent(
              engine -> {
                taken.add(engine.runner());
                orders.add(place(engine, want));
              });
    }
    return orders;
  }

  private boolean hasHome(PlanInput.AdapterWant want) {
    return input.engines().stream()
        .filter(engine -> engine.totalRunning() < input.spec().slots())
        .anyMatch(engine -> holds(engine, want));
  }

  private static boolean holds(PlanInput.Engine engine, PlanInput.AdapterWant want) {
    return engine.models().getOrDefault(want.model(), Set.of()).contains(want.adapter());
  }

  private boolean isFull(PlanInput.Engine engine, PlanInput.AdapterWant want) {
    return !rules.allow(new FleetOrder.LoadAdapter(want.model(), want.adapter()), engine.room());
  }

  private static int adapterCount(PlanInput.Engine engine) {
    return engine.room().values().stream().mapToInt(Set::size).sum();
  }

  /** Adapters that were loaded a moment ago are kept until their requests came. */
  private Optional<String> dispensable(PlanInput.Engine engine) {
    return engine.idleAdapters().stream()
        .filter(adapter -> !engine.adaptersInUse().contains(adapter) && !wanted.contains(adapter))
        .findFirst();
  }

  private Plan.Placed place(PlanInput.Engine engine, PlanInput.AdapterWant want) {
    if (!isFull(engine, want)) {
      return new Plan.Placed(
          engine.runner(),
          new FleetOrder.LoadAdapter(want.model(), want.adapter()),
          "requests wait");
    }
    String victim = dispensable(engine).orElseThrow();
    int slash = victim.indexOf('/');
    return new Plan.Placed(
        engine.runner(),
        new FleetOrder.UnloadAdapter(victim.substring(0, slash), victim.substring(slash + 1)),
        "makes room for " + want.model() + "/" + want.adapter());
  }
}
