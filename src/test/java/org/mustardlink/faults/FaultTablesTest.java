package org.mustardlink.faults;

import io.cucumber.junit.platform.engine.Constants;
import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the fault scenarios, three at a time, because a scenario spends most of its time waiting. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("org.mustardlink.faults")
@ConfigurationParameter(key = Constants.GLUE_PROPERTY_NAME, value = "org.mustardlink.faults")
@ConfigurationParameter(key = Constants.PLUGIN_PUBLISH_QUIET_PROPERTY_NAME, value = "true")
@ConfigurationParameter(key = Constants.PARALLEL_EXECUTION_ENABLED_PROPERTY_NAME, value = "true")
@ConfigurationParameter(key = Constants.PARALLEL_CONFIG_STRATEGY_PROPERTY_NAME, value = "fixed")
@ConfigurationParameter(key = Constants.PARALLEL_CONFIG_FIXED_PARALLELISM_PROPERTY_NAME, value = "3")
class FaultTablesTest {}
