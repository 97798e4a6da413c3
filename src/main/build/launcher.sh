#!/bin/sh
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" ${MUSTARDLINK_JAVA_OPTS:--XX:+UseSerialGC -Xmx96m} -cp "$0" org.mustardlink.cli.Main "$@"
exit 1
