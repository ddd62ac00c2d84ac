// Reports whether the process was started with SIGHUP ignored, as nohup does.
int monsoonhub_sighup_ignored(void);
