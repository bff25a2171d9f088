package dev.wisteriarail.http;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import java.time.InstantSource;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What the HTTP layer needs of its node.
 *
 * @param node the node
 * @param incarnation this run of the process
 * @param configuration gives the configuration in force
 * @param ready tells whether the balancer may send callers
 * @param events takes events for the core
 * @param clock the node's clock
 * @param status serves operators
 */
public record NodeContext(
    NodeId node,
    Incarnation incarnation,
    Supplier<Configuration> configuration,
    BooleanSupplier ready,
    Consumer<Event> events,
    InstantSource clock,
    StatusPage status) {

  /** Describes a node whose status page is off. */
  public NodeContext(
      NodeId node,
      Incarnation incarnation,
      Supplier<Configuration> configuration,
      BooleanSupplier ready,
      Consumer<Event> events,
      InstantSource clock) {
    this(node, incarnation, configuration, ready, events, clock, StatusPage.OFF);
  }
}
