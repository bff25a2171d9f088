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
 * The parts of a node that the HTTP layer uses.
 *
 * @param node the node
 * @param incarnation incarnation of the node, one for each run of its process
 * @param configuration supplies the configuration in force
 * @param ready whether the load balancer may send callers to the node
 * @param events receives events for the core
 * @param clock the node's clock
 * @param status the status page for operators
 */
public record NodeContext(
    NodeId node,
    Incarnation incarnation,
    Supplier<Configuration> configuration,
    BooleanSupplier ready,
    Consumer<Event> events,
    InstantSource clock,
    StatusPage status) {

  /** Creates the context of a node whose status page is off. */
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
