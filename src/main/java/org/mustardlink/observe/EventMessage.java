package org.mustardlink.observe;

import java.util.Map;
import org.apache.logging.log4j.message.MapMessage;

/** The fields of one log line, for the layout. */
final class EventMessage extends MapMessage<EventMessage, Object> {
    private static final long serialVersionUID = 1L;

    EventMessage(Map<String, Object> fields) {
        super(fields);
    }

    @Override
    public EventMessage newInstance(Map<String, Object> fields) {
        return new EventMessage(fields);
    }
}
