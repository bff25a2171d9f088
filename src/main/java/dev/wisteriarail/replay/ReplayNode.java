package dev.wisteriarail.replay;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeCore;
import dev.wisteriarail.core.NodeSettings;
import java.util.List;
import java.util.function.BiConsumer;

/** One node of a replay: a core, its read position in the log and its timer. Not thread-safe. */
final class ReplayNode {

  private static final long MIN_WAIT_MICROS = 1_000;

  private final VirtualTime time;
  private final NodeSettings settings;
  private final NodeCore core;
  private final BiConsumer<ReplayNode, Effect> effectHandler;
  private long wakeUpMicros = Long.MAX_VALUE;
  private long readOffset;

  ReplayNode(
      VirtualTime time,
      NodeSettings settings,
      NodeCore core,
      BiConsumer<ReplayNode, Effect> effectHandler) {
    this.time = time;
    this.settings = settings;
    this.core = core;
    this.effectHandler = effectHandler;
  }

  /** Passes an event to the core and starts the resulting effects. */
  void handle(Event event) {
    List<Effect> effects = core.handle(event, time.instant());
    for (Effect effect : effects) {
      effectHandler.accept(this, effect);
    }
    core.nextWakeUp().ifPresent(at -> scheduleWakeUp(VirtualTime.microsOf(at)));
  }

  private void scheduleWakeUp(long atMicros) {
    long at = Math.max(atMicros, time.micros() + MIN_WAIT_MICROS);
    if (wakeUpMicros > time.micros() && wakeUpMicros <= at) {
      return;
    }
    wakeUpMicros = at;
    time.scheduleAt(at, () -> wakeUp(at));
  }

  private void wakeUp(long expected) {
    if (wakeUpMicros == expected) {
      wakeUpMicros = Long.MAX_VALUE;
      handle(new Event.TimerFired());
    }
  }

  /** Reads the log from the node's read position to the end. */
  void readLog(ReplayLog log) {
    if (log.isDown()) {
      handle(new Event.LogReadFailed("the log is down"));
      return;
    }
    Event.LogRead read = new Event.LogRead(log.from(readOffset), log.nextOffset(), 0);
    readOffset = log.nextOffset();
    handle(read);
  }

  // Accessors

  NodeSettings settings() {
    return settings;
  }

  NodeCore core() {
    return core;
  }
}
