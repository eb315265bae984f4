/** The scenario language: one verb a line, shell quoting, '#' comments. */
#ifndef SCENARIO_H
#define SCENARIO_H

struct scenario_settings {
	char *build;
	char *logs;
};

/** Run a script file. Returns 0, or 1 when a line failed. */
int scenario_run(const struct scenario_settings *settings, const char *path);

#endif
