package dev.wisteriarail.runtime;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.message.StringMapMessage;
import org.apache.logging.log4j.simple.SimpleLogger;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;
import org.apache.logging.log4j.util.PropertiesUtil;

/**
 * JSON lines on standard output behind the Log4j 2 API, in the form of {@code EventTemplate.json}.
 * It reads no configuration and scans for no plugins, which is half of a node's start on one core.
 *
 * <p>Chosen with {@code -Dlog4j2.loggerContextFactory}. Thread-safe.
 */
public final class LineLoggers implements LoggerContextFactory, LoggerContext {

  private static final String LEVEL = "wisteriarail.log.level";
  private static final String JETTY = "org.eclipse.jetty";
  private static final int MILLISECOND_DIGITS = 3;

  private final Map<String, ExtendedLogger> loggers = new ConcurrentHashMap<>();
  private final JsonFactory json = new JsonFactory();
  private final DateTimeFormatter time =
      new DateTimeFormatterBuilder().appendInstant(MILLISECOND_DIGITS).toFormatter();
  private final OutputStream output;
  private final InstantSource timeOfDay;

  /** Called by Log4j. */
  public LineLoggers() {
    this(System.out, InstantSource.system());
  }

  /**
   * Returns loggers with an output of their own.
   *
   * @param output takes the lines, each with one write
   * @param timeOfDay the time that lines bear
   */
  LineLoggers(OutputStream output, InstantSource timeOfDay) {
    this.output = output;
    this.timeOfDay = timeOfDay;
  }

  // Factory

  @Override
  public LoggerContext getContext(
      String caller, ClassLoader loader, Object externalContext, boolean current) {
    return this;
  }

  @Override
  public LoggerContext getContext(
      String caller,
      ClassLoader loader,
      Object externalContext,
      boolean current,
      URI configuration,
      String name) {
    return this;
  }

  @Override
  public void removeContext(LoggerContext context) {
    // There is one for the process.
  }

  @Override
  public boolean isClassLoaderDependent() {
    return false;
  }

  // Context

  @Override
  public Object getExternalContext() {
    return null;
  }

  @Override
  public ExtendedLogger getLogger(String name) {
    return getLogger(name, null);
  }

  @Override
  public ExtendedLogger getLogger(String name, MessageFactory messages) {
    return loggers.computeIfAbsent(name, key -> new LineLogger(key, messages));
  }

  @Override
  public boolean hasLogger(String name) {
    return loggers.containsKey(name);
  }

  @Override
  public boolean hasLogger(String name, MessageFactory messages) {
    return hasLogger(name);
  }

  @Override
  public boolean hasLogger(String name, Class<? extends MessageFactory> messages) {
    return hasLogger(name);
  }

  private static Level level(String name) {
    return name.startsWith(JETTY)
        ? Level.WARN
        : Level.toLevel(System.getProperty(LEVEL), Level.INFO);
  }

  private void write(String logger, Level level, Message message, Throwable failure) {
    StringWriter line = new StringWriter();
    try (JsonGenerator to = json.createGenerator(line)) {
      to.writeStartObject();
      to.writeStringField("time", time.format(timeOfDay.instant()));
      to.writeStringField("level", level.name());
      to.writeStringField("logger", logger);
      to.writeObjectFieldStart("message");
      for (Map.Entry<String, String> field : fields(message).entrySet()) {
        to.writeStringField(field.getKey(), field.getValue());
      }
      to.writeEndObject();
      if (failure != null) {
        to.writeStringField("exception", stackTrace(failure));
      }
      to.writeEndObject();
      to.writeRaw(System.lineSeparator());
      to.flush();
      byte[] bytes = line.toString().getBytes(StandardCharsets.UTF_8);
      synchronized (output) {
        output.write(bytes);
        output.flush();
      }
    } catch (IOException unwritable) {
      throw new UncheckedIOException(unwritable);
    }
  }

  private static Map<String, String> fields(Message message) {
    return message instanceof StringMapMessage map
        ? new TreeMap<>(map.getData())
        : Map.of("text", message.getFormattedMessage());
  }

  private static String stackTrace(Throwable failure) {
    StringWriter trace = new StringWriter();
    failure.printStackTrace(new PrintWriter(trace));
    return trace.toString();
  }

  /** Log4j's own logger without configuration, with another form of lines. */
  private final class LineLogger extends SimpleLogger {

    private static final long serialVersionUID = 1L;

    LineLogger(String name, MessageFactory messages) {
      super(
          name,
          level(name),
          true,
          false,
          false,
          false,
          "",
          messages,
          PropertiesUtil.getProperties(),
          new PrintStream(OutputStream.nullOutputStream()));
    }

    @Override
    public void logMessage(
        String caller, Level level, Marker marker, Message message, Throwable failure) {
      write(getName(), level, message, failure == null ? message.getThrowable() : failure);
    }
  }
}
