"""How often the platform's tables are asked for."""

#: Seconds for which the table of the operators is waited on. Each answer confirms
#: that no key was revoked until then, and its absence that this host is cut off:
#: neighbours that rely on it then read the store in time for a change that is due
#: after two seconds.
CONFIRM_EVERY = 1.0

#: Seconds for which the list of endpoints is waited on. A connection that lost an
#: answer delivers nothing further: with ten seconds a reader, and all that ask it,
#: heard of an endpoint that leaves after 11.5 s; it must get nothing after two.
LIST_WAIT = 1.0

#: Seconds between an answer with changed endpoints and the next question. Weights
#: are loaded on many engines within a second and each is a change; agents tell of
#: these themselves, and an endpoint that leaves must be noticed within two seconds.
LIST_PAUSE = 0.2

#: Seconds between an answer with a changed configuration and the next question. A
#: configuration is 30 to 200 KB and may change a dozen times a second; one host of
#: each failure domain reads it over a link between regions that live requests use.
CHANGE_PAUSE = 0.4

#: Seconds that an answer with changes may be overdue until it is asked for once more.
#: The platform takes 0.24 s when it is 60 times slower than usual.
HEDGE_AFTER = 0.3
