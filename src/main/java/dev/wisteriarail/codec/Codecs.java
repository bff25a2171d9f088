package dev.wisteriarail.codec;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.core.request.Target;
import dev.wisteriarail.core.state.SnapshotPart;
import java.util.List;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * The Jackson mappers for JSON and MessagePack.
 *
 * <p>Sealed types are written with a {@code type} property that holds the simple name of the
 * record. The mappers are not reconfigured after their creation and are thread-safe.
 */
public final class Codecs {

  private static final List<Class<?>> SEALED_TYPES =
      List.of(
          RecordBody.class,
          SnapshotPart.class,
          PeerMessage.class,
          EngineOrder.class,
          OrderOutcome.class,
          Target.class);

  private static final ObjectMapper JSON = configure(new JsonMapper());
  private static final ObjectMapper MESSAGE_PACK = configure(new MessagePackMapper());

  private Codecs() {}

  /** Returns the mapper for JSON. */
  public static ObjectMapper json() {
    return JSON;
  }

  /** Returns the mapper for MessagePack. */
  public static ObjectMapper messagePack() {
    return MESSAGE_PACK;
  }

  private static ObjectMapper configure(ObjectMapper mapper) {
    mapper.registerModule(new Jdk8Module());
    mapper.registerModule(new JavaTimeModule());
    mapper.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    for (Class<?> sealedType : SEALED_TYPES) {
      mapper.addMixIn(sealedType, TypeProperty.class);
      registerSubtypes(mapper, sealedType);
    }
    return mapper;
  }

  private static void registerSubtypes(ObjectMapper mapper, Class<?> sealedType) {
    for (Class<?> permitted : sealedType.getPermittedSubclasses()) {
      if (permitted.isSealed()) {
        registerSubtypes(mapper, permitted);
      } else {
        mapper.registerSubtypes(new NamedType(permitted, permitted.getSimpleName()));
      }
    }
  }

  /** Adds the type property to a sealed interface. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
  private interface TypeProperty {}
}
