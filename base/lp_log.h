/** Logs: JSON lines on standard output, through log4c. */
#ifndef LP_LOG_H
#define LP_LOG_H

enum lp_log_level {
	LP_LOG_ERROR,
	LP_LOG_WARN,
	LP_LOG_INFO,
	LP_LOG_DEBUG,
};

/** Set up log4c. `process` stands in every line. Call once at start. */
void lp_log_init(const char *process, enum lp_log_level level);
/**
 * Write one line. `module` names the package; `request` is a printed
 * request id or NULL.
 */
void lp_log(enum lp_log_level level, const char *module, const char *request,
	    const char *format, ...) __attribute__((format(printf, 4, 5)));

#endif
