package dev.wisteriarail.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.wisteriarail.codec.Codecs;
import java.io.IOException;

/** The format in which the chunks of an answer are written to the caller. */
enum AnswerFormat {
  /** One JSON object for a chat completion. */
  CHAT_JSON,
  /** Server-sent events for a chat completion. */
  CHAT_EVENTS,
  /** One JSON object for a text completion. */
  TEXT_JSON,
  /** Server-sent events for a text completion. */
  TEXT_EVENTS,
  /** The unchanged body of a plain service. */
  PLAIN;

  static AnswerFormat of(boolean chat, boolean stream) {
    if (chat) {
      return stream ? CHAT_EVENTS : CHAT_JSON;
    }
    return stream ? TEXT_EVENTS : TEXT_JSON;
  }

  boolean isEventStream() {
    return this == CHAT_EVENTS || this == TEXT_EVENTS;
  }

  String contentType() {
    return isEventStream() ? "text/event-stream" : "application/json";
  }

  /** Returns a chunk of the answer as a server-sent event. */
  String event(String request, String model, String text) throws IOException {
    ObjectNode choice = JsonNodeFactory.instance.objectNode().put("index", 0);
    if (this == CHAT_EVENTS) {
      choice.putObject("delta").put("content", text);
    } else {
      choice.put("text", text);
    }
    String object = this == CHAT_EVENTS ? "chat.completion.chunk" : "text_completion";
    return "data: "
        + Codecs.json().writeValueAsString(envelope(request, model, object, choice))
        + "\n\n";
  }

  /** Returns the body of a complete answer that is not streamed. */
  String completeAnswer(String request, String model, String text) throws IOException {
    if (this == PLAIN) {
      return text;
    }
    ObjectNode choice = JsonNodeFactory.instance.objectNode().put("index", 0);
    if (this == CHAT_JSON) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", "stop");
    String object = this == CHAT_JSON ? "chat.completion" : "text_completion";
    return Codecs.json().writeValueAsString(envelope(request, model, object, choice));
  }

  private static ObjectNode envelope(
      String request, String model, String object, ObjectNode choice) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("id", request).put("object", object).put("model", model);
    body.putArray("choices").add(choice);
    return body;
  }
}
