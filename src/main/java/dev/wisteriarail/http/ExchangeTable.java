package dev.wisteriarail.http;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.request.Refusal;
import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.spi.CallerGateway;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** The open exchanges of a node, keyed by request. Thread-safe. */
public final class ExchangeTable implements CallerGateway {

  private final Map<RequestId, Exchange> exchanges = new ConcurrentHashMap<>();
  private final Consumer<Event> events;

  private ExchangeTable(Consumer<Event> events) {
    this.events = events;
  }

  /**
   * Returns an empty table.
   *
   * @param events receives {@link Event.CallerLeft} for a caller that reads too slowly
   */
  public static ExchangeTable create(Consumer<Event> events) {
    return new ExchangeTable(events);
  }

  Exchange open(RequestId request) {
    Exchange exchange = new Exchange();
    exchanges.put(request, exchange);
    return exchange;
  }

  void close(RequestId request) {
    exchanges.remove(request);
  }

  @Override
  public void sendChunk(Effect.AnswerChunk chunk) {
    Exchange exchange = exchanges.get(chunk.request());
    if (exchange == null || exchange.offer(chunk.text())) {
      return;
    }
    close(chunk.request());
    events.accept(new Event.CallerLeft(chunk.request()));
    Refusal incomplete =
        Refusal.outcomeUnknown(ResultCode.ANSWER_INCOMPLETE, "the caller reads too slowly");
    exchange.end(new RequestOutcome.Refused(incomplete));
  }

  @Override
  public void end(Effect.EndRequest end) {
    Exchange exchange = exchanges.remove(end.request());
    if (exchange != null) {
      exchange.end(end.ending());
    }
  }

  /** Returns the number of open exchanges. */
  public int size() {
    return exchanges.size();
  }
}
